"""Server for the links that entries open to a guard."""

from __future__ import annotations

import contextlib

import attrs
import trio

from borageward.failures import Failure
from borageward.guard.admission import Admission
from borageward.guard.executor import Executor
from borageward.guard.link import EntryLink
from borageward.guard.results import TaskKey, lost_result
from borageward.guard.settlement import Settlement
from borageward.guard.state import GuardState
from borageward.messages.guard import (
    Acknowledge,
    EntryToGuard,
    Fence,
    Hello,
    JobOutcome,
    Settle,
    StartTasks,
    TasksFinished,
    Welcome,
    Withdraw,
)
from borageward.telemetry import EventLog, log_results
from borageward.telemetry.events import TASK_RESULT_SENT
from borageward.transport import FrameConnection, LinkClosed

_HELLO_TIMEOUT_S = 5.0
_MAX_RESULT_BATCH_BYTES = 1_048_576


@attrs.frozen(slots=True)
class GuardIdentity:
    """Identity that a guard sends to every entry in ``Welcome``."""

    worker: str
    place: str
    service: str


class LinkServer:
    """Serves links, each with one task that reads and one that sends."""

    def __init__(
        self,
        state: GuardState,
        executor: Executor,
        identity: GuardIdentity,
        log: EventLog,
    ) -> None:
        """Create a server for the links of one guard."""
        self._state = state
        self._executor = executor
        self._identity = identity
        self._log = log
        self._step_log = log.bind(worker=identity.worker)
        self._admission = Admission(state, self._step_log)
        self._settlement = Settlement(state)

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve one link until it breaks.

        Serving also ends when ``Hello`` does not arrive in time, when the
        guard is not registered, or when a message is malformed.
        """
        connection: FrameConnection[EntryToGuard]
        connection = FrameConnection(stream, EntryToGuard)
        link = EntryLink(connection, self._compose)
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._state.links.remove, link)
            await self._serve(link)

    async def _serve(self, link: EntryLink) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.run_sender)
            try:
                await self._read_messages(link)
            except LinkClosed:
                nursery.cancel_scope.cancel()

    async def _read_messages(self, link: EntryLink) -> None:
        with trio.move_on_after(_HELLO_TIMEOUT_S):
            hello = await link.connection.receive()
            if isinstance(hello, Hello):
                self._welcome(link, hello)
        while link.incarnation:
            message = await link.connection.receive()
            if isinstance(message, Failure):
                self._log.warning('link_malformed', detail=message.detail)
                break
            self._dispatch(link, message)
        raise LinkClosed

    def _dispatch(self, link: EntryLink, message: EntryToGuard) -> None:
        match message:
            case StartTasks():
                self._admission.start(link, message)
            case Acknowledge():
                self._settlement.acknowledge(link, message)
            case Settle():
                self._settlement.settle(link, message)
            case Withdraw():
                self._settlement.withdraw(link, message)
            case Fence():
                self._settlement.fence(link, message)
            case Hello():
                self._welcome(link, message)
        self._executor.process_queue()

    def _welcome(self, link: EntryLink, hello: Hello) -> None:
        if self._state.incarnation == 0:
            # The guard is not registered. Entries reconnect once control
            # lists it.
            return
        link.incarnation = hello.entry_incarnation
        self._state.links.add(link)
        link.post(
            Welcome(
                self._state.incarnation,
                self._identity.worker,
                self._identity.place,
                self._identity.service,
                self._state.load(),
            ),
        )
        for key in self._state.results.pending_of(link.incarnation):
            link.push_result(key)

    def _compose(self, keys: list[TaskKey]) -> list[TasksFinished]:
        messages = []
        batch: list[JobOutcome] = []
        batch_bytes = 0
        for job_id, index in keys:
            outcome = self._state.results.find((job_id, index))
            batch.append(JobOutcome(job_id, outcome or lost_result(index)))
            batch_bytes += len(batch[-1].outcome.result or b'')
            if batch_bytes >= _MAX_RESULT_BATCH_BYTES:
                messages.append(self._finished_message(batch))
                batch = []
                batch_bytes = 0
        if batch:
            messages.append(self._finished_message(batch))
        return messages

    def _finished_message(self, batch: list[JobOutcome]) -> TasksFinished:
        log_results(
            self._step_log,
            TASK_RESULT_SENT,
            ((sent.job_id, sent.outcome.index) for sent in batch),
        )
        return TasksFinished(tuple(batch), self._state.load())
