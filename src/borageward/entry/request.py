"""Decodes the job request of a caller and enforces its limits."""

from __future__ import annotations

import re
from typing import Annotated, Literal

import attrs
import msgspec

from borageward.clock import Milliseconds
from borageward.failures import Failure, FailureReason
from borageward.identity import JobId, body_digest, parse_job_id

MAX_TASKS = 150
MAX_DEPTH = 32
MAX_NAME_CHARACTERS = 64
_MAX_DECLARED_BYTES = 9_007_199_254_740_992
_MAX_DECLARED_MS = 86_400_000

_Name = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)
]
_STRING_PATTERN = re.compile(rb'"(?:[^"\\]|\\.)*"')
_TO_PARENTHESES = bytes.maketrans(b'[]{}', b'()()')
_NON_BRACKETS = bytes(set(range(256)) - set(b'[]{}'))  # noqa: WPS432


class TaskBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One task of a request body.

    ``declared_size`` in bytes and ``declared_ms`` in milliseconds are the
    caller's own estimates. They are checked for their range only, and nothing
    relies on them.
    """

    kind: _Name
    payload: msgspec.Raw
    idempotent: bool
    declared_size: Annotated[
        int, msgspec.Meta(ge=0, le=_MAX_DECLARED_BYTES)
    ] = 0
    declared_ms: Annotated[float, msgspec.Meta(ge=0, le=_MAX_DECLARED_MS)] = 0


class _JobBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request body of ``POST /v1/jobs``."""

    id: str
    service: _Name
    deadline_ms: Annotated[int, msgspec.Meta(ge=1)]
    priority: Literal['normal', 'urgent']
    tasks: Annotated[
        tuple[TaskBody, ...],
        msgspec.Meta(min_length=1, max_length=MAX_TASKS),
    ]


_decoder = msgspec.json.Decoder(_JobBody)


@attrs.frozen(slots=True)
class JobRequest:
    """A valid job request.

    ``deadline_ms`` is the time from the submission to the deadline.
    ``digest`` covers the service and the tasks, to recognise another job
    under the same id. ``body`` is the request as received, kept to forward it
    to the entry that owns the claim.
    """

    job_id: JobId
    service: str
    urgent: bool
    deadline_ms: Milliseconds
    tasks: tuple[TaskBody, ...]
    digest: bytes
    body: bytes


def decode_request(
    body: bytes,
    max_deadline_ms: Milliseconds,
) -> JobRequest | Failure:
    """Return the request, or ``INVALID_REQUEST`` with the cause.

    A request whose deadline is above ``max_deadline_ms`` is invalid too.
    """
    if _nests_too_deep(body):
        return _invalid(
            f'the body nests deeper than {MAX_DEPTH} levels or is unbalanced',
        )
    try:
        body.decode()
    except UnicodeDecodeError:
        return _invalid('the body is not UTF-8')
    try:
        document = _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        return _invalid(str(error))
    if document.deadline_ms > max_deadline_ms:
        return _invalid(f'deadline_ms is above {max_deadline_ms}')
    return _request(document, body)


def _request(document: _JobBody, body: bytes) -> JobRequest | Failure:
    job_id = parse_job_id(document.id)
    if isinstance(job_id, Failure):
        return job_id
    return JobRequest(
        job_id,
        document.service,
        document.priority == 'urgent',
        document.deadline_ms,
        document.tasks,
        _digest(document),
        body,
    )


def _digest(document: _JobBody) -> bytes:
    # The deadline is left out: a resubmission of the same job may carry a
    # shorter one.
    parts = [
        (task.kind, task.payload, task.idempotent) for task in document.tasks
    ]
    return body_digest(msgspec.json.encode((document.service, parts)))


def _nests_too_deep(body: bytes) -> bool:
    """Return whether brackets nest too deep or do not match.

    Each pass removes the innermost pairs with fast operations on bytes. A
    Python loop over all brackets would take most of the decoding time.
    """
    if body.count(b'[') + body.count(b'{') <= MAX_DEPTH:
        return False
    brackets = _STRING_PATTERN.sub(b'', body).translate(
        _TO_PARENTHESES, _NON_BRACKETS
    )
    levels = 0
    while brackets and levels < MAX_DEPTH:
        brackets = brackets.replace(b'()', b'')
        levels += 1
    return bool(brackets)


def _invalid(detail: str) -> Failure:
    return Failure(FailureReason.INVALID_REQUEST, detail)
