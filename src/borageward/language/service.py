"""Handling of ``POST /v1/query`` requests by an entry."""

from __future__ import annotations

import msgspec

from borageward.failures import Failure
from borageward.language.builder import invalid_request
from borageward.language.execution import answer_entry_query
from borageward.language.parser import parse_sentence
from borageward.language.query import Query, QuerySource
from borageward.messages.query import QueryRequest

MAX_ROWS = 10_000


def answer_request(body: bytes, source: QuerySource) -> bytes | Failure:
    """Return the reply to a request, an ``EntrySnapshot`` as JSON.

    Returns ``INVALID_REQUEST`` if the body cannot be decoded, the limit is out
    of range, or the sentence is not a query that entries answer.
    """
    try:
        request = msgspec.json.decode(body, type=QueryRequest)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return invalid_request(str(error))
    if not 1 <= request.limit <= MAX_ROWS:
        return invalid_request(f'limit must be in the range 1 to {MAX_ROWS}')
    query = parse_sentence(request.sentence)
    if isinstance(query, Failure):
        return query
    if not isinstance(query, Query) or not query.subject.from_entries:
        return invalid_request(
            'an entry answers "show jobs" and "show workers" only'
        )
    return msgspec.json.encode(answer_entry_query(query, source, request.limit))
