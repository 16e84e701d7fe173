"""HTTP client of the runner: ``POST /run`` and ``GET /status``."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec
import trio

from borageward.failures import Failure, FailureReason, RunState
from borageward.http.connection import HttpConnection, HttpReply
from borageward.identity import format_job_id
from borageward.messages.task import TaskOutcome
from borageward.policy.scheduler import GuardTask

_CONNECT_TIMEOUT_S = 1.0
_STATUS_TIMEOUT_S = 1.0
_MAX_IDLE_CONNECTIONS = 16
_MAX_DETAIL_CHARACTERS = 1000
_OK = 200
_TASK_FAILED = 422

RunnerConnector = Callable[[], Awaitable[trio.abc.Stream]]


class _RunRequest(msgspec.Struct):
    """Body of ``POST /run``."""

    job: str
    task: int
    kind: str
    payload: msgspec.Raw


class _RunReply(msgspec.Struct):
    """Body of the reply to a task that succeeded."""

    result: msgspec.Raw


class _RunError(msgspec.Struct):
    """Body of the reply to a task that failed."""

    error: str


class RunnerClient:
    """Pool of persistent connections to one runner."""

    def __init__(self, connect: RunnerConnector, host: str) -> None:
        """Create a client without connections.

        ``connect`` opens a stream or raises ``OSError``; ``host`` is the value
        of the ``Host`` header.
        """
        self._connect = connect
        self._host = host
        self._idle: list[HttpConnection] = []

    async def acquire_connection(self) -> HttpConnection | Failure:
        """Return an idle or new connection, or ``RUNNER_UNREACHABLE``."""
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
            await connection.close()
        try:
            with trio.fail_after(_CONNECT_TIMEOUT_S):
                return HttpConnection(
                    await self._connect(),
                    self._host,
                    FailureReason.RUNNER_FAILED,
                )
        except (OSError, trio.TooSlowError, trio.BrokenResourceError) as error:
            return Failure(FailureReason.RUNNER_UNREACHABLE, str(error))

    async def release_connection(self, connection: HttpConnection) -> None:
        """Return a connection to the pool.

        A connection that cannot be reused, or for which the pool has no space,
        is closed.
        """
        if connection.reusable and len(self._idle) < _MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            await connection.close()

    async def run(
        self,
        connection: HttpConnection,
        task: GuardTask,
    ) -> TaskOutcome:
        """Run a task and return its outcome.

        A failure reported by the task itself is ``TASK_FAILED`` with ``RAN``;
        any other failure is ``RUNNER_FAILED`` with ``MAY_HAVE_RUN``.
        """
        request = _RunRequest(
            format_job_id(task.job_id),
            task.index,
            task.kind,
            msgspec.Raw(task.payload or b'null'),
        )
        body = msgspec.json.encode(request)
        reply = await connection.exchange('POST', '/run', body)
        if isinstance(reply, Failure):
            return failed_outcome(task.index, reply.detail)
        return _reply_outcome(task.index, reply)

    async def probe_status(self) -> bool:
        """Return whether the runner answers a status request with 200."""
        connection = await self.acquire_connection()
        if isinstance(connection, Failure):
            return False
        with trio.move_on_after(_STATUS_TIMEOUT_S):
            reply = await connection.exchange('GET', '/status')
            await self.release_connection(connection)
            return isinstance(reply, HttpReply) and reply.status == _OK
        await connection.close()
        return False

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().close()


def failed_outcome(index: int, detail: str) -> TaskOutcome:
    """Return ``RUNNER_FAILED`` for a task that may have run.

    A long ``detail`` is truncated.
    """
    return TaskOutcome(
        index,
        reason=FailureReason.RUNNER_FAILED,
        run_state=RunState.MAY_HAVE_RUN,
        detail=detail[:_MAX_DETAIL_CHARACTERS],
    )


def _reply_outcome(index: int, reply: HttpReply) -> TaskOutcome:
    try:
        return _decode_reply(index, reply)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return failed_outcome(
            index, f'malformed reply from the runner: {error}'
        )


def _decode_reply(index: int, reply: HttpReply) -> TaskOutcome:
    if reply.status == _OK:
        success = msgspec.json.decode(reply.body, type=_RunReply)
        return TaskOutcome(index, result=bytes(success.result))
    if reply.status == _TASK_FAILED:
        failure = msgspec.json.decode(reply.body, type=_RunError)
        return TaskOutcome(
            index,
            reason=FailureReason.TASK_FAILED,
            run_state=RunState.RAN,
            detail=failure.error[:_MAX_DETAIL_CHARACTERS],
        )
    return failed_outcome(index, f'the runner replied with HTTP {reply.status}')
