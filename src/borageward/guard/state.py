"""The aggregates of a guard and the conditions under which it starts work."""

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
    """State that the links and the executor of one guard share."""

    def __init__(
        self,
        clock: Clock,
        scheduler: SlotScheduler,
        results: ResultStore,
    ) -> None:
        """Prepare a guard that has no lease yet."""
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
        """Return the results that are kept."""
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
        """Return why no new work is accepted now, or nothing."""
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
        """Tell whether a queued task may start now."""
        return self.lease_valid() and not self._results.full

    def adopt(self, job_id: JobId, record: JobRecord, owner: int) -> None:
        """Move a job with its tasks and results to a new owner."""
        if not record.change_owner(owner):
            return
        for held in self._tasks.of_job(job_id):
            held.owner = owner
            # Attempts of the former owner do not compare with the new ones.
            held.attempt = 0
        keys = [(job_id, index) for index in record.started]
        self._results.move(keys, owner)

    def take_back(self, held: AcceptedTask) -> None:
        """Drop a task that has not started; its attempt never starts."""
        held.phase = TaskPhase.NOT_RUN
        self._tasks.remove(held)
        job_id, index = held.key
        if held.holds_slot:
            self._scheduler.release(held.task, 0)
        else:
            self._scheduler.withdraw(job_id, index)
        record = self._ledger.read(job_id)
        record.raise_floor(index, held.attempt)
        self._ledger.write(job_id, record)

    def fence(self, ended: tuple[int, ...]) -> None:
        """Refuse entry incarnations and take their queued tasks back."""
        fresh = self._fences.add(ended)
        for held in self._tasks.queued():
            if held.owner in fresh:
                self.take_back(held)

    def end_incarnation(self) -> None:
        """Drop queued tasks and links of an incarnation that ended."""
        self.incarnation = 0
        for held in self._tasks.queued():
            self.take_back(held)
        for link in self._links:
            link.end()

    def finish(self, held: AcceptedTask, outcome: TaskOutcome) -> None:
        """Keep the outcome of a task that started and send it."""
        held.phase = TaskPhase.FINISHED
        self._tasks.remove(held)
        self._results.add(held.key, outcome, held.owner)
        self._ledger.renew(held.task.job_id)
        link = self._links.route(held.link, held.owner)
        if link is not None:
            link.push(held.key)
