"""Answer of one entry to ``POST /v1/query``."""

from __future__ import annotations

import msgspec

from borageward.failures import Failure
from borageward.language.builder import invalid
from borageward.language.execution import answer_from
from borageward.language.parser import parse_sentence
from borageward.language.query import Query, QuerySource
from borageward.messages.query import QueryRequest

MAX_ROWS = 10_000


def answer_request(body: bytes, source: QuerySource) -> bytes | Failure:
    """Return the JSON of an ``EntrySnapshot``, or ``INVALID_REQUEST``."""
    try:
        request = msgspec.json.decode(body, type=QueryRequest)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return invalid(str(error))
    if not 1 <= request.limit <= MAX_ROWS:
        return invalid(f'limit must be 1 to {MAX_ROWS}')
    query = parse_sentence(request.sentence)
    if isinstance(query, Failure):
        return query
    if not isinstance(query, Query) or not query.subject.from_entries:
        return invalid('an entry answers "show jobs" and "show workers" only')
    return msgspec.json.encode(answer_from(query, source, request.limit))
