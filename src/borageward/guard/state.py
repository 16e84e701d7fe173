"""State of a guard and the conditions under which it starts tasks."""

from __future__ import annotations

from collections.abc import Callable

from borageward.clock import Clock
from borageward.failures import Failure, FailureReason
from borageward.guard.fences import IncarnationFences
from borageward.guard.ledger import JobRecord, StartLedger
from borageward.guard.links import EntryLinks
from borageward.guard.results import ResultStore
from borageward.guard.tasks import AcceptedTask, AcceptedTasks
from borageward.identity import JobId
from borageward.messages.guard import GuardLoad
from borageward.messages.task import TaskOutcome, TaskPhase
from borageward.policy.scheduler import SlotScheduler


def _no_lease() -> bool:
    return False


class GuardState:
    """State shared by the links and the executor of one guard.

    ``incarnation`` is zero while the guard is not registered with control.
    """

    def __init__(
        self,
        clock: Clock,
        scheduler: SlotScheduler,
        results: ResultStore,
    ) -> None:
        """Create the state of a guard without a configuration lease."""
        self._clock = clock
        self._scheduler = scheduler
        self._results = results
        self._ledger = StartLedger(clock)
        self._fences = IncarnationFences()
        self._tasks = AcceptedTasks()
        self._links = EntryLinks()
        self.incarnation = 0
        self.closing = False
        self.runner_ready = False
        self.lease_valid: Callable[[], bool] = _no_lease

    @property
    def clock(self) -> Clock:
        """Return the clock."""
        return self._clock

    @property
    def scheduler(self) -> SlotScheduler:
        """Return the scheduler of the slots."""
        return self._scheduler

    @property
    def results(self) -> ResultStore:
        """Return the store of results."""
        return self._results

    @property
    def ledger(self) -> StartLedger:
        """Return the start ledger."""
        return self._ledger

    @property
    def fences(self) -> IncarnationFences:
        """Return the fenced entry incarnations."""
        return self._fences

    @property
    def tasks(self) -> AcceptedTasks:
        """Return the accepted tasks that have not finished."""
        return self._tasks

    @property
    def links(self) -> EntryLinks:
        """Return the open links."""
        return self._links

    def load(self) -> GuardLoad:
        """Return the load to report."""
        return self._scheduler.load(self.closing or not self.runner_ready)

    def refusal(self) -> Failure | None:
        """Return why new tasks are refused, or ``None`` when they are accepted.

        The reason is ``LEAVING``, ``RUNNER_UNREACHABLE``,
        ``CONFIGURATION_STALE`` or ``RESULTS_FULL``.
        """
        if self.closing:
            return Failure(FailureReason.LEAVING)
        if not self.runner_ready:
            return Failure(FailureReason.RUNNER_UNREACHABLE)
        if not self.lease_valid():
            return Failure(FailureReason.CONFIGURATION_STALE)
        if self._results.full:
            return Failure(FailureReason.RESULTS_FULL)
        return None

    def may_start(self) -> bool:
        """Return whether the lease and the result store allow a start."""
        return self.lease_valid() and not self._results.full

    def assign_owner(
        self, job_id: JobId, record: JobRecord, owner: int
    ) -> None:
        """Make an entry incarnation the owner of a job.

        Accepted tasks and unacknowledged results of the job move to the new
        owner; nothing changes when it owns the job already. The caller writes
        the record back to the ledger.
        """
        if not record.change_owner(owner):
            return
        for accepted_task in self._tasks.of_job(job_id):
            accepted_task.owner = owner
            # Each owner numbers the attempts of a job on its own.
            accepted_task.attempt = 0
        keys = [(job_id, index) for index in record.started]
        self._results.reassign(keys, owner)

    def cancel_queued(self, accepted_task: AcceptedTask) -> None:
        """Remove a task that has not started and fence its attempt."""
        accepted_task.phase = TaskPhase.NOT_RUN
        self._tasks.remove(accepted_task)
        job_id, index = accepted_task.key
        if accepted_task.holds_slot:
            self._scheduler.release(accepted_task.task, 0)
        else:
            self._scheduler.withdraw(job_id, index)
        record = self._ledger.read(job_id)
        record.fence_attempt(index, accepted_task.attempt)
        self._ledger.write(job_id, record)

    def fence(self, ended: tuple[int, ...]) -> None:
        """Fence ended entry incarnations and cancel their queued tasks."""
        newly_fenced = self._fences.add(ended)
        for accepted_task in self._tasks.queued():
            if accepted_task.owner in newly_fenced:
                self.cancel_queued(accepted_task)

    def end_incarnation(self) -> None:
        """Cancel all queued tasks and close all links of the guard.

        Entries treat the tasks of an ended guard incarnation as lost, so
        none of them may start afterwards.
        """
        self.incarnation = 0
        for accepted_task in self._tasks.queued():
            self.cancel_queued(accepted_task)
        for link in self._links:
            link.request_close()

    def finish(self, accepted_task: AcceptedTask, outcome: TaskOutcome) -> None:
        """Store the outcome of a task that ran and send it to its owner.

        Without an open link to the owner, the outcome is sent when the owner
        connects again.
        """
        accepted_task.phase = TaskPhase.FINISHED
        self._tasks.remove(accepted_task)
        self._results.add(accepted_task.key, outcome, accepted_task.owner)
        self._ledger.renew(accepted_task.task.job_id)
        link = self._links.route(accepted_task.link, accepted_task.owner)
        if link is not None:
            link.push_result(accepted_task.key)
