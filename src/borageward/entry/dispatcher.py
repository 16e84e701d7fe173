"""Sending of waiting tasks to the guards that the policy selects."""

from __future__ import annotations

from collections.abc import Iterable

import trio

from borageward.clock import Clock, Milliseconds
from borageward.entry.guardlink import GuardLink
from borageward.entry.job import Job, JobTask, Placement
from borageward.entry.openjobs import OpenJobs
from borageward.entry.settlement import Settlement
from borageward.entry.startgate import StartGate
from borageward.failures import Failure, FailureReason, RunState
from borageward.messages.guard import StartTasks, Withdraw
from borageward.policy.dispatch import Assignment, DispatchPolicy
from borageward.telemetry import EventLog

# Interval at which an entry without a valid lease checks the lease.
_GATE_POLL_MS = 50.0
# Longest wait between two runs of the policy without an event.
_MAX_WAIT_MS = 250.0
_MS_PER_SECOND = 1000.0


class Dispatcher:
    """Runs the policy of an entry after each event and posts the starts."""

    def __init__(
        self,
        policy: DispatchPolicy,
        jobs: OpenJobs,
        gate: StartGate,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Create the dispatcher and settlement for the jobs of one entry."""
        self._policy = policy
        self._jobs = jobs
        self._gate = gate
        self._clock = clock
        self._wake = trio.Event()
        self._settlement = Settlement(
            policy,
            jobs,
            gate,
            clock,
            self.wake,
            log,
        )

    @property
    def settlement(self) -> Settlement:
        """Return the object that handles the events of the guard links."""
        return self._settlement

    def wake(self) -> None:
        """Make ``run`` ask the policy for assignments without delay."""
        self._wake.set()

    def enqueue(self, job: Job, tasks: Iterable[JobTask]) -> None:
        """Add those of ``tasks`` that are unresolved to the queue.

        The job must be claimed by the current incarnation.
        """
        waiting = [task.waiting for task in tasks if task.outcome is None]
        if waiting:
            self._policy.enqueue(waiting, self._clock.now_ms())
            self.wake()

    def close_job(self, job: Job, reason: FailureReason) -> None:
        """Start no more tasks of a job and withdraw those not yet running.

        Takes time linear in the number of open tasks of the job.
        """
        job.close_reason = reason
        self._policy.cancel(job.job_id)
        withdrawn: dict[int, list[JobTask]] = {}
        for task in job.unresolved():
            if task.placement is Placement.WAITING:
                job.fail_task(task.waiting.index, Failure(reason))
            else:
                withdrawn.setdefault(task.guard, []).append(task)
        for tasks in withdrawn.values():
            self._withdraw_tasks(job, tasks)
        self.wake()

    def fail_open_tasks(self, job: Job, failure: Failure) -> None:
        """Resolve all open tasks of a closed job with ``failure``."""
        for task in job.unresolved():
            link = self._link_of(task)
            if link is None:
                job.fail_task(task.waiting.index, failure)
            else:
                self._settlement.give_up_task(link, job, task, failure)
        self.wake()

    async def run(self) -> None:
        """Expire and place waiting tasks until cancelled."""
        while True:
            with trio.move_on_after(self._next_wait_ms() / _MS_PER_SECOND):
                await self._wake.wait()
            self._wake = trio.Event()
            self._drop_expired()
            self._place_all()

    def _next_wait_ms(self) -> Milliseconds:
        if not self._gate.is_open():
            return _GATE_POLL_MS
        now_ms = self._clock.now_ms()
        wake_ms = self._policy.next_wake_ms(now_ms)
        if wake_ms is None:
            return _MAX_WAIT_MS
        return max(0, min(wake_ms - now_ms, _MAX_WAIT_MS))

    def _drop_expired(self) -> None:
        for waiting in self._policy.expired(self._clock.now_ms()):
            job = self._jobs.get(waiting.job_id)
            if job is not None:
                job.fail_task(
                    waiting.index,
                    Failure(FailureReason.DEADLINE_EXCEEDED),
                )

    def _place_all(self) -> None:
        # Without a valid lease tasks stay in the queue.
        if not self._gate.is_open():
            return
        for assignment in self._policy.assignments(self._clock.now_ms()):
            self._place_tasks(assignment)

    def _place_tasks(self, assignment: Assignment) -> None:
        job = self._jobs.get(assignment.job_id)
        link = self._settlement.active.get(assignment.worker)
        if job is None or link is None:
            for waiting in assignment.tasks:
                self._policy.task_lost(assignment.worker, waiting)
            if job is not None:
                self._fail_unplaced(job, assignment)
            return
        for task in assignment.tasks:
            job.place(task.index, link.incarnation, link.worker)
            link.add_open_task(job.job_id, task.index)
        link.post(self._start_message(job, assignment))

    def _fail_unplaced(self, job: Job, assignment: Assignment) -> None:
        for waiting in assignment.tasks:
            job.fail_task(
                waiting.index,
                Failure(FailureReason.NO_RUNNER, run_state=RunState.NOT_RUN),
            )

    def _start_message(self, job: Job, assignment: Assignment) -> StartTasks:
        return StartTasks(
            job.job_id,
            job.owner,
            job.request.service,
            job.request.urgent,
            max(0, job.deadline_ms - self._clock.now_ms()),
            tuple(job.tasks[task.index].spec() for task in assignment.tasks),
        )

    def _withdraw_tasks(self, job: Job, tasks: list[JobTask]) -> None:
        link = self._link_of(tasks[0])
        if link is None:
            return
        for task in tasks:
            if task.placement is Placement.POSTED:
                self._settlement.return_unsent(link, job, task)
        by_attempt: dict[int, list[int]] = {}
        for sent in tasks:
            if sent.placement is Placement.SENT:
                indexes = by_attempt.setdefault(sent.attempt, [])
                indexes.append(sent.waiting.index)
        for attempt, withdrawn in by_attempt.items():
            link.post(
                Withdraw(job.job_id, job.owner, tuple(withdrawn), attempt),
            )

    def _link_of(self, task: JobTask) -> GuardLink | None:
        return self._settlement.links.get(task.guard)
