"""HTTP answers to callers: status codes and JSON documents."""

from __future__ import annotations

from collections.abc import Sequence
from http import HTTPStatus

import attrs
import msgspec

from borageward.failures import Failure, FailureReason, RunState
from borageward.identity import JobId, format_job_id
from borageward.messages.task import TaskOutcome

_RETRY_AFTER_S = 1

_STATUSES = {  # noqa: WPS407
    FailureReason.INVALID_REQUEST: HTTPStatus.BAD_REQUEST,
    FailureReason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    FailureReason.ID_TOO_OLD: HTTPStatus.GONE,
    FailureReason.ID_IN_FUTURE: HTTPStatus.UNPROCESSABLE_ENTITY,
    FailureReason.ID_CONFLICT: HTTPStatus.CONFLICT,
    FailureReason.UNKNOWN_JOB: HTTPStatus.NOT_FOUND,
    FailureReason.UNKNOWN_SERVICE: HTTPStatus.UNPROCESSABLE_ENTITY,
    FailureReason.CANCELLED: HTTPStatus.CONFLICT,
    FailureReason.TASK_FAILED: HTTPStatus.UNPROCESSABLE_ENTITY,
    FailureReason.RESULT_LOST: HTTPStatus.GONE,
    FailureReason.DEADLINE_EXCEEDED: HTTPStatus.GATEWAY_TIMEOUT,
    FailureReason.OVERLOADED: HTTPStatus.TOO_MANY_REQUESTS,
    FailureReason.QUOTA_EXCEEDED: HTTPStatus.TOO_MANY_REQUESTS,
}
_RETRIED = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE),
)


@attrs.frozen(slots=True)
class Answer:
    """HTTP answer with a JSON body.

    ``retry_after_s`` is the value of the ``Retry-After`` header in seconds;
    with zero the header is left out.
    """

    status: int
    body: bytes
    retry_after_s: int = 0


class _TaskResult(msgspec.Struct, frozen=True):
    index: int
    result: msgspec.Raw


class _Complete(msgspec.Struct, frozen=True):
    id: str
    state: str
    results: list[_TaskResult]


class _TaskState(msgspec.Struct, frozen=True):
    index: int
    run_state: RunState
    reason: FailureReason | None
    detail: str


class _Failed(msgspec.Struct, frozen=True):
    id: str
    state: str
    reason: FailureReason
    run_state: RunState
    detail: str
    tasks: list[_TaskState]


class _Running(msgspec.Struct, frozen=True):
    id: str
    state: str
    tasks: int
    resolved: int


def complete_answer(
    job_id: JobId,
    outcomes: Sequence[TaskOutcome],
) -> Answer:
    """Return the answer of a job of which every task has succeeded.

    A task without a result has the result ``null``.
    """
    results = [
        _TaskResult(outcome.index, msgspec.Raw(outcome.result or b'null'))
        for outcome in outcomes
    ]
    return _answer(
        HTTPStatus.OK,
        _Complete(format_job_id(job_id), 'complete', results),
    )


def failed_answer(
    job_id: JobId,
    failure: Failure,
    outcomes: Sequence[TaskOutcome],
) -> Answer:
    """Return the answer of a failed job.

    It lists the state of every task but no results, not even those of tasks
    that succeeded. The state is ``refused`` when no task has run.
    """
    tasks = [
        _TaskState(
            outcome.index,
            outcome.run_state,
            outcome.reason,
            outcome.detail,
        )
        for outcome in outcomes
    ]
    state = 'refused' if failure.run_state is RunState.NOT_RUN else 'failed'
    document = _Failed(
        format_job_id(job_id),
        state,
        failure.reason,
        failure.run_state,
        failure.detail,
        tasks,
    )
    return _answer(_status(failure), document)


def refused_answer(job_id: JobId | None, failure: Failure) -> Answer:
    """Return the answer of a request without the states of its tasks.

    ``job_id`` is ``None`` when the request was refused before its id was
    known. The state is ``failed`` when the job may have run.
    """
    text = format_job_id(job_id) if job_id else ''
    document = _Failed(
        text,
        'refused' if failure.run_state is RunState.NOT_RUN else 'failed',
        failure.reason,
        failure.run_state,
        failure.detail,
        [],
    )
    return _answer(_status(failure), document)


def running_answer(job_id: JobId, tasks: int, resolved: int) -> Answer:
    """Return the answer for a job that still runs.

    ``tasks`` is the number of its tasks, ``resolved`` how many of them have
    an outcome.
    """
    return _answer(
        HTTPStatus.ACCEPTED,
        _Running(format_job_id(job_id), 'running', tasks, resolved),
    )


def _status(failure: Failure) -> HTTPStatus:
    status = _STATUSES.get(failure.reason)
    if status is not None:
        return status
    if failure.run_state is RunState.NOT_RUN:
        return HTTPStatus.SERVICE_UNAVAILABLE
    return HTTPStatus.BAD_GATEWAY


def _answer(status: HTTPStatus, document: msgspec.Struct) -> Answer:
    retry_after_s = _RETRY_AFTER_S if status in _RETRIED else 0
    return Answer(int(status), msgspec.json.encode(document), retry_after_s)
