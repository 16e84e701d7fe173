"""Baseline dispatch policy, used for comparison.

Tasks are placed in order of arrival, round robin over the guards with free
slots.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Sequence

import attrs

from borageward.clock import Milliseconds
from borageward.configuration import Configuration, initial_configuration
from borageward.failures import Failure, FailureReason
from borageward.identity import JobId
from borageward.messages.guard import GuardLoad
from borageward.policy.dispatch import Assignment, JobNeed, WaitingTask

MAX_ATTEMPTS = 3
_EXPIRY_POLL_MS = 250.0


@attrs.define(slots=True, eq=False)
class _Guard:
    """Slots of one worker, and the tasks that this entry placed there."""

    worker: str
    place: str
    service: str
    slots: int
    leaving: bool
    placed: int = 0


class BaselineDispatchPolicy:
    """``DispatchPolicy`` without estimates of run times, speeds or loads."""

    def __init__(self) -> None:
        """Create a policy with the initial configuration and no guards."""
        self._configuration = initial_configuration()
        self._guards: OrderedDict[str, _Guard] = OrderedDict()
        self._waiting: dict[JobId, deque[WaitingTask]] = {}
        self._task_count = 0

    def configure(self, configuration: Configuration, entries: int) -> None:
        """Apply a configuration; the number of entries is not used."""
        self._configuration = configuration

    def add_guard(
        self,
        worker: str,
        place: str,
        service: str,
        load: GuardLoad,
    ) -> None:
        """Add a worker to those that tasks can be placed at."""
        self._guards[worker] = _Guard(
            worker,
            place,
            service,
            load.slots,
            load.leaving,
        )

    def remove_guard(self, worker: str) -> None:
        """Stop placing tasks at a worker."""
        self._guards.pop(worker, None)

    def load_reported(self, worker: str, load: GuardLoad) -> None:
        """Update the slots of a worker; unknown workers are ignored."""
        guard = self._guards.get(worker)
        if guard is not None:
            guard.slots = load.slots
            guard.leaving = load.leaving

    def admit(self, need: JobNeed, now_ms: Milliseconds) -> Failure | None:
        """Return ``OVERLOADED`` if the queue would exceed its limit."""
        room = self._configuration.limits.max_queued_tasks - self._task_count
        if len(need.kinds) > room:
            return Failure(FailureReason.OVERLOADED, 'entry queue is full')
        return None

    def enqueue(
        self,
        tasks: Sequence[WaitingTask],
        now_ms: Milliseconds,
    ) -> None:
        """Append tasks to the queues of their jobs."""
        for task in tasks:
            self._waiting.setdefault(task.job_id, deque()).append(task)
        self._task_count += len(tasks)

    def assignments(self, now_ms: Milliseconds) -> list[Assignment]:
        """Place waiting tasks in free slots and remove them from the queue."""
        found: list[Assignment] = []
        if not self._any_free_slot():
            return found
        for job_id in list(self._waiting):
            found.extend(self._assign(job_id))
            if not self._any_free_slot():
                break
        return found

    def task_finished(
        self,
        worker: str,
        task: WaitingTask,
        run_ms: Milliseconds,
        failed: bool,
    ) -> None:
        """Free the slot of a task that ran."""
        self._release(worker)

    def task_not_run(
        self,
        worker: str,
        task: WaitingTask,
        now_ms: Milliseconds,
    ) -> Failure | None:
        """Queue a task again, or return ``RETRY_BUDGET_SPENT``.

        A task is refused after ``MAX_ATTEMPTS`` attempts.
        """
        self._release(worker)
        if task.attempt >= MAX_ATTEMPTS:
            return Failure(FailureReason.RETRY_BUDGET_SPENT)
        task.excluded |= {worker}
        self.enqueue((task,), now_ms)
        return None

    def task_lost(self, worker: str, task: WaitingTask) -> None:
        """Free the slot of a task whose outcome is unknown."""
        self._release(worker)

    def cancel(self, job_id: JobId) -> list[WaitingTask]:
        """Remove and return the waiting tasks of a job."""
        removed = list(self._waiting.pop(job_id, ()))
        self._task_count -= len(removed)
        return removed

    def expired(self, now_ms: Milliseconds) -> list[WaitingTask]:
        """Remove and return waiting tasks whose deadline has passed."""
        late = [
            job_id
            for job_id, tasks in self._waiting.items()
            if tasks[0].deadline_ms <= now_ms
        ]
        return [task for job_id in late for task in self.cancel(job_id)]

    def next_wake_ms(self, now_ms: Milliseconds) -> Milliseconds | None:
        """Return the time of the next check for expired tasks."""
        return now_ms + _EXPIRY_POLL_MS

    def _release(self, worker: str) -> None:
        guard = self._guards.get(worker)
        if guard is not None:
            guard.placed = max(0, guard.placed - 1)

    def _any_free_slot(self) -> bool:
        return any(_has_free_slot(guard) for guard in self._guards.values())

    def _assign(self, job_id: JobId) -> list[Assignment]:
        chosen: dict[str, list[WaitingTask]] = {}
        unplaced: deque[WaitingTask] = deque()
        for task in self._waiting[job_id]:
            guard = self._next_guard(task)
            if guard is None:
                unplaced.append(task)
            else:
                guard.placed += 1
                chosen.setdefault(guard.worker, []).append(task)
        self._task_count -= len(self._waiting[job_id]) - len(unplaced)
        self._waiting[job_id] = unplaced
        if not unplaced:
            self._waiting.pop(job_id)
        return [
            Assignment(worker, job_id, tuple(tasks))
            for worker, tasks in chosen.items()
        ]

    def _next_guard(self, task: WaitingTask) -> _Guard | None:
        allowed = [
            guard for guard in self._guards.values() if self._fits(guard, task)
        ]
        untried = [
            guard for guard in allowed if guard.worker not in task.excluded
        ]
        candidates = untried or allowed
        if not candidates:
            return None
        self._guards.move_to_end(candidates[0].worker)
        return candidates[0]

    def _fits(self, guard: _Guard, task: WaitingTask) -> bool:
        if not _has_free_slot(guard) or guard.service != task.service:
            return False
        policy = self._configuration.policy_for(task.service, task.kind)
        return policy is None or policy.allows(guard.worker, guard.place)


def _has_free_slot(guard: _Guard) -> bool:
    return not guard.leaving and guard.placed < guard.slots
