"""Updates of tasks from the messages and failures of guard links."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs
import msgspec

from borageward.clock import Clock
from borageward.entry.guardlink import GuardLink
from borageward.entry.job import Job, JobTask, Placement
from borageward.entry.openjobs import OpenJobs
from borageward.entry.startgate import StartGate
from borageward.failures import Failure, FailureReason, RunState
from borageward.messages.guard import (
    Announcement,
    GuardLoad,
    GuardToEntry,
    JobOutcome,
    Settle,
    Settled,
    StartTasks,
    TasksFinished,
    TasksRefused,
)
from borageward.messages.task import TaskOutcome, TaskPhase, TaskReport
from borageward.policy.dispatch import DispatchPolicy
from borageward.telemetry import EventLog, log_attempts, log_results
from borageward.telemetry.events import (
    TASK_RESULT_RECEIVED,
    TASK_START_SENT,
)


class Settlement:
    """Handles the events of guard links for the placed tasks.

    Implements ``LinkEvents``. Each placement of a task ends once: the task is
    resolved or, only if it provably did not run, returned to the queue of the
    policy. ``wake`` makes the dispatcher ask the policy for new assignments.
    ``active`` maps workers to the links that accept tasks, ``links`` maps
    guard incarnations to all links.
    """

    def __init__(
        self,
        policy: DispatchPolicy,
        jobs: OpenJobs,
        gate: StartGate,
        clock: Clock,
        wake: Callable[[], None],
        log: EventLog,
    ) -> None:
        """Create the settlement of the jobs of one entry, without links."""
        self._log = log
        self._policy = policy
        self._jobs = jobs
        self._gate = gate
        self._clock = clock
        self._wake = wake
        self.active: dict[str, GuardLink] = {}
        self.links: dict[int, GuardLink] = {}

    def link_up(self, link: GuardLink) -> None:
        """Add the guard to the policy and settle the tasks sent before."""
        welcome = link.welcome
        if welcome is None:
            return
        self._store_load(link, welcome.load)
        if link.placeable:
            self.active[link.worker] = link
            self._policy.add_guard(
                link.worker,
                welcome.place,
                welcome.service,
                welcome.load,
            )
        self.settle_open(link)
        self._wake()

    def settle_open(self, link: GuardLink) -> None:
        """Ask the guard for the state of every open task sent to it."""
        groups: dict[tuple[Job, int, int], list[int]] = {}
        for job, task in self._open_tasks(link):
            if task.placement is Placement.SENT:
                key = (job, task.started_by, task.attempt)
                groups.setdefault(key, []).append(task.waiting.index)
        for group, indexes in groups.items():
            link.post(self._settle_message(group, indexes))

    def link_down(self, link: GuardLink) -> None:
        """Remove the guard from the policy and requeue unwritten starts.

        Tasks whose start may have been written stay open.
        """
        if self.active.get(link.worker) is link:
            self.active.pop(link.worker)
            self._policy.remove_guard(link.worker)
        for job, task in self._open_tasks(link):
            if task.placement is Placement.POSTED:
                self.return_unsent(link, job, task)

    def prepare_start(
        self,
        link: GuardLink,
        message: StartTasks,
    ) -> StartTasks | None:
        """Return the start to write now, with its tasks marked as sent.

        Tasks that are no longer posted are left out; ``None`` means that there
        is nothing to write.
        """
        job = self._jobs.get(message.job_id)
        if job is None:
            return None
        specs = tuple(
            spec
            for spec in message.tasks
            if _is_posted(job, spec.index, spec.attempt)
        )
        if not specs:
            return None
        if not self._gate.admits(job):
            for refused in specs:
                self.return_unsent(link, job, job.tasks[refused.index])
            return None
        for spec in specs:
            job.tasks[spec.index].placement = Placement.SENT
        log_attempts(
            self._log,
            TASK_START_SENT,
            job.job_id,
            ((spec.index, spec.attempt) for spec in specs),
            worker=link.worker,
        )
        remaining_ms = max(0, job.deadline_ms - self._clock.now_ms())
        return msgspec.structs.replace(
            message,
            tasks=specs,
            remaining_ms=remaining_ms,
        )

    def message_received(self, link: GuardLink, message: GuardToEntry) -> None:
        """Apply a message of the guard to the tasks that it names."""
        if isinstance(message, _MESSAGES_WITH_LOAD):
            self._report_load(link, message.load)
        if isinstance(message, TasksFinished):
            self._log_received_results(link, message.outcomes)
            for outcome in message.outcomes:
                self._handle_finished(link, outcome)
        elif isinstance(message, TasksRefused):
            self._handle_refused(link, message)
        elif isinstance(message, Settled):
            self._handle_settled(link, message)
        self._wake()

    def guard_lost(self, link: GuardLink, failure: Failure) -> None:
        """Fail the sent tasks of a lost guard and requeue the unsent ones."""
        for job, task in self._open_tasks(link):
            if task.placement is Placement.POSTED:
                self.return_unsent(link, job, task)
            else:
                self.give_up_task(link, job, task, failure)
        self._wake()

    def give_up_task(
        self,
        link: GuardLink,
        job: Job,
        task: JobTask,
        failure: Failure,
    ) -> None:
        """Resolve a task with a failure, as it is unknown whether it ran."""
        link.remove_open_task(job.job_id, task.waiting.index)
        if not task.adopted:
            self._policy.task_lost(link.worker, task.waiting)
        job.fail_task(task.waiting.index, failure)

    def return_unsent(self, link: GuardLink, job: Job, task: JobTask) -> None:
        """Requeue a task whose start has not been written.

        If its job is closed, the task fails as ``not_run`` instead.
        """
        self._handle_not_run(link, job, task, Failure(FailureReason.WITHDRAWN))

    def apply_report(
        self,
        link: GuardLink,
        job: Job,
        report: TaskReport,
        attempt: int = 0,
    ) -> None:
        """Apply the state of one task, reported in a ``Settled`` message.

        A queued or running task stays open until its result arrives. A report
        that an earlier ``attempt`` did not run says nothing of a newer one.
        """
        task = job.tasks[report.index]
        if report.phase is TaskPhase.FINISHED and report.outcome is not None:
            finished = JobOutcome(job.job_id, report.outcome)
            self._log_received_results(link, (finished,))
            self._handle_finished(link, finished)
        elif report.phase is TaskPhase.NOT_RUN and _placed_at(task, link):
            if attempt and task.attempt > attempt:
                return
            self._handle_not_run(
                link, job, task, Failure(FailureReason.WITHDRAWN)
            )

    def _log_received_results(
        self,
        link: GuardLink,
        outcomes: Iterable[JobOutcome],
    ) -> None:
        log_results(
            self._log,
            TASK_RESULT_RECEIVED,
            ((result.job_id, result.outcome.index) for result in outcomes),
            worker=link.worker,
        )

    def _handle_finished(self, link: GuardLink, finished: JobOutcome) -> None:
        outcome = finished.outcome
        job = self._jobs.get(finished.job_id)
        link.acknowledgements.add(finished.job_id, outcome.index)
        if job is None or not 0 <= outcome.index < len(job.tasks):
            return
        task = job.tasks[outcome.index]
        if _placed_at(task, link):
            link.remove_open_task(job.job_id, outcome.index)
            self._notify_policy(link, task, outcome)
        job.resolve(outcome)

    def _notify_policy(
        self,
        link: GuardLink,
        task: JobTask,
        outcome: TaskOutcome,
    ) -> None:
        if task.adopted:
            return
        self._policy.task_finished(
            link.worker,
            task.waiting,
            outcome.run_ms,
            outcome.reason is not None,
        )

    def _handle_refused(self, link: GuardLink, message: TasksRefused) -> None:
        job = self._jobs.get(message.job_id)
        if job is None:
            return
        for index in message.indexes:
            if not 0 <= index < len(job.tasks):
                continue
            task = job.tasks[index]
            # A duplicate may refer to an earlier attempt at this guard.
            if _placed_at(task, link) and task.attempt <= message.attempt:
                self._handle_not_run(link, job, task, Failure(message.reason))

    def _handle_settled(self, link: GuardLink, message: Settled) -> None:
        job = self._jobs.get(message.job_id)
        if job is None:
            return
        for report in message.reports:
            if 0 <= report.index < len(job.tasks):
                self.apply_report(link, job, report, message.attempt)

    def _handle_not_run(
        self,
        link: GuardLink,
        job: Job,
        task: JobTask,
        failure: Failure,
    ) -> None:
        index = task.waiting.index
        was_sent = task.placement is Placement.SENT
        link.remove_open_task(job.job_id, index)
        job.mark_waiting(index)
        refusal = self._requeue_task(link, job, task, failure, was_sent)
        if refusal is not None:
            job.fail_task(
                index,
                attrs.evolve(refusal, run_state=RunState.NOT_RUN),
            )

    def _requeue_task(
        self,
        link: GuardLink,
        job: Job,
        task: JobTask,
        failure: Failure,
        was_sent: bool,
    ) -> Failure | None:
        if was_sent and not task.waiting.idempotent:
            if not task.adopted:
                self._policy.task_lost(link.worker, task.waiting)
            return Failure(job.close_reason) if job.close_reason else failure
        if task.adopted:
            # The policy did not place it, so there is no slot to free.
            task.adopted = False
            if job.close_reason is None:
                self._policy.enqueue((task.waiting,), self._clock.now_ms())
                return None
            return Failure(job.close_reason)
        refusal = self._policy.task_not_run(
            link.worker,
            task.waiting,
            self._clock.now_ms(),
        )
        if job.close_reason is None:
            return refusal
        self._policy.cancel(job.job_id)
        return Failure(job.close_reason)

    def _settle_message(
        self,
        group: tuple[Job, int, int],
        indexes: list[int],
    ) -> Settle:
        job, started_by, attempt = group
        # Send the job's owner instead of the current incarnation: a newer
        # incarnation of this entry does not own the job and must not move it
        # away from an entry that has taken it over.
        return Settle(
            job.job_id,
            job.owner,
            started_by,
            tuple(indexes),
            attempt,
            withdraw_queued=job.close_reason is not None,
        )

    def _open_tasks(self, link: GuardLink) -> list[tuple[Job, JobTask]]:
        found: list[tuple[Job, JobTask]] = []
        for job_id, indexes in list(link.open_tasks.items()):
            job = self._jobs.get(job_id)
            if job is None:
                link.open_tasks.pop(job_id)
                continue
            for index in sorted(indexes):
                found.append((job, job.tasks[index]))
        return found

    def _store_load(self, link: GuardLink, load: GuardLoad) -> None:
        link.load = load
        link.load_ms = self._clock.now_ms()

    def _report_load(self, link: GuardLink, load: GuardLoad) -> None:
        self._store_load(link, load)
        if self.active.get(link.worker) is link:
            self._policy.load_reported(link.worker, load)


_MESSAGES_WITH_LOAD = (
    Announcement,
    Settled,
    TasksFinished,
    TasksRefused,
)


def _is_posted(job: Job, index: int, attempt: int) -> bool:
    task = job.tasks[index]
    return task.placement is Placement.POSTED and task.attempt == attempt


def _placed_at(task: JobTask, link: GuardLink) -> bool:
    placed = task.placement in {Placement.POSTED, Placement.SENT}
    return placed and task.guard == link.incarnation
