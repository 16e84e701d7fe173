"""Start of queued tasks in free slots of the runner."""

from __future__ import annotations

import msgspec
import trio

from borageward.failures import Failure, FailureReason
from borageward.guard.runnerclient import RunnerClient, failed_outcome
from borageward.http.connection import HttpConnection
from borageward.guard.state import GuardState
from borageward.guard.tasks import AcceptedTask
from borageward.messages.guard import TasksRefused
from borageward.messages.task import TaskOutcome, TaskPhase
from borageward.policy.scheduler import GuardTask
from borageward.telemetry import EventLog
from borageward.telemetry.events import TASK_RUN_FINISHED, TASK_RUN_STARTED

# A reply that arrives shortly after the deadline still shows that the task ran.
RUN_GRACE_MS = 2000.0

_POLL_INTERVAL_MS = 20.0
_MS_PER_SECOND = 1000.0


class Executor:
    """Starts accepted tasks.

    A task starts when the scheduler assigns it a slot, the configuration lease
    is valid and the result store is not full.
    """

    def __init__(
        self,
        state: GuardState,
        runner: RunnerClient,
        log: EventLog,
    ) -> None:
        """Create an executor for one runner."""
        self._log = log
        self._state = state
        self._runner = runner
        self._nursery: trio.Nursery | None = None
        self._queued = trio.Event()

    async def run(self) -> None:
        """Process the queue periodically until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                await self._queued.wait()
                # Lease and deadlines expire without a message that would
                # trigger processing, so a queue that is not empty is polled.
                await self._state.clock.sleep_ms(_POLL_INTERVAL_MS)
                self.process_queue()

    def process_queue(self) -> None:
        """Refuse expired tasks and start those that may start now."""
        nursery = self._nursery
        if nursery is None:
            return
        now_ms = self._state.clock.now_ms()
        for expired_task in self._state.scheduler.expired(now_ms):
            self._refuse_task(expired_task, FailureReason.DEADLINE_EXCEEDED)
        while self._state.may_start():
            task = self._state.scheduler.take(now_ms)
            if task is None:
                break
            accepted_task = self._state.tasks.find((task.job_id, task.index))
            if accepted_task is not None:
                accepted_task.holds_slot = True
                nursery.start_soon(self._execute, accepted_task)
        self._update_queued_event()

    def _update_queued_event(self) -> None:
        if self._state.tasks.queued():
            self._queued.set()
        elif self._queued.is_set():
            self._queued = trio.Event()

    def _refuse_task(self, task: GuardTask, reason: FailureReason) -> None:
        accepted_task = self._state.tasks.find((task.job_id, task.index))
        if accepted_task is not None:
            self._refuse(accepted_task, reason)

    def _refuse(
        self, accepted_task: AcceptedTask, reason: FailureReason
    ) -> None:
        self._state.cancel_queued(accepted_task)
        link = self._state.links.route(accepted_task.link, accepted_task.owner)
        if link is not None:
            load = self._state.load()
            job_id, index = accepted_task.key
            link.post(
                TasksRefused(
                    job_id, (index,), accepted_task.attempt, reason, load
                ),
            )

    async def _execute(self, accepted_task: AcceptedTask) -> None:
        connection = await self._acquire_connection(accepted_task)
        if connection is not None:
            # Nothing is awaited between the check that permitted the start
            # and this record, so the permission still holds.
            accepted_task.phase = TaskPhase.RUNNING
            accepted_task.task.started_ms = self._state.clock.now_ms()
            self._state.ledger.mark_started(*accepted_task.key)
            self._log_step(TASK_RUN_STARTED, accepted_task)
            await self._run(accepted_task, connection)
            run_ms = self._state.clock.now_ms() - accepted_task.task.started_ms
            self._state.scheduler.release(accepted_task.task, run_ms)
        self.process_queue()

    async def _acquire_connection(
        self,
        accepted_task: AcceptedTask,
    ) -> HttpConnection | None:
        """Wait for a connection and until the task may start.

        Return ``None`` when the task was refused or cancelled meanwhile. The
        conditions are checked again after each wait.
        """
        while accepted_task.phase is TaskPhase.QUEUED:
            connection = await self._runner.acquire_connection()
            refused = self._refusal(accepted_task, connection)
            if refused is not None:
                self._refuse(accepted_task, refused)
            if isinstance(connection, Failure):
                break
            if (
                accepted_task.phase is TaskPhase.QUEUED
                and self._state.may_start()
            ):
                return connection
            await self._runner.release_connection(connection)
            await self._state.clock.sleep_ms(_POLL_INTERVAL_MS)
        return None

    def _refusal(
        self,
        accepted_task: AcceptedTask,
        connection: HttpConnection | Failure,
    ) -> FailureReason | None:
        if accepted_task.phase is not TaskPhase.QUEUED:
            return None
        if isinstance(connection, Failure):
            return connection.reason
        if self._state.clock.now_ms() >= accepted_task.task.deadline_ms:
            return FailureReason.DEADLINE_EXCEEDED
        return None

    async def _run(
        self,
        accepted_task: AcceptedTask,
        connection: HttpConnection,
    ) -> None:
        timeout_ms = (
            accepted_task.task.deadline_ms
            - accepted_task.task.started_ms
            + RUN_GRACE_MS
        )
        detail = 'no reply from the runner by the deadline and grace period'
        outcome = failed_outcome(accepted_task.task.index, detail)
        with trio.move_on_after(timeout_ms / _MS_PER_SECOND) as scope:
            outcome = await self._runner.run(connection, accepted_task.task)
        self._finish(accepted_task, outcome)
        if scope.cancelled_caught:
            # The runner may still execute the task: the slot stays occupied
            # until the reply arrives or the connection ends.
            await connection.drain()
            await connection.close()
        else:
            await self._runner.release_connection(connection)

    def _finish(
        self, accepted_task: AcceptedTask, outcome: TaskOutcome
    ) -> None:
        run_ms = self._state.clock.now_ms() - accepted_task.task.started_ms
        timed = msgspec.structs.replace(outcome, run_ms=run_ms)
        self._log_step(TASK_RUN_FINISHED, accepted_task, outcome.reason)
        self._state.finish(accepted_task, timed)

    def _log_step(
        self,
        name: str,
        accepted_task: AcceptedTask,
        reason: FailureReason | None = None,
    ) -> None:
        if self._log.writes_steps:
            job_id, index = accepted_task.key
            fields = {} if reason is None else {'reason': reason}
            self._log.debug(
                name,
                job=job_id,
                tasks=index,
                attempt=accepted_task.attempt,
                **fields,
            )
