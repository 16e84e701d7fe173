"""Baseline of the decisions of an entry.

Round robin over the guards with free slots, first come first served.
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
    """Slots of one worker as this entry accounts for them."""

    worker: str
    place: str
    service: str
    slots: int
    leaving: bool
    placed: int = 0


class BaselineDispatchPolicy:
    """Implements ``DispatchPolicy`` without learning."""

    def __init__(self) -> None:
        """Prepare a policy with an empty configuration."""
        self._configuration = initial_configuration()
        self._guards: OrderedDict[str, _Guard] = OrderedDict()
        self._waiting: dict[JobId, deque[WaitingTask]] = {}
        self._count = 0

    def configure(self, configuration: Configuration, entries: int) -> None:
        """Use a configuration."""
        self._configuration = configuration

    def add_guard(
        self,
        worker: str,
        place: str,
        service: str,
        load: GuardLoad,
    ) -> None:
        """Start to place work at a worker whose guard is linked."""
        self._guards[worker] = _Guard(
            worker,
            place,
            service,
            load.slots,
            load.leaving,
        )

    def remove_guard(self, worker: str) -> None:
        """Place no more work at a worker."""
        self._guards.pop(worker, None)

    def load_reported(self, worker: str, load: GuardLoad) -> None:
        """Use a newer load of a worker."""
        guard = self._guards.get(worker)
        if guard is not None:
            guard.slots = load.slots
            guard.leaving = load.leaving

    def admit(self, need: JobNeed, now_ms: Milliseconds) -> Failure | None:
        """Refuse a job that the queue has no room for."""
        room = self._configuration.limits.max_queued_tasks - self._count
        if len(need.kinds) > room:
            return Failure(FailureReason.OVERLOADED, 'the queue is full')
        return None

    def enqueue(
        self,
        tasks: Sequence[WaitingTask],
        now_ms: Milliseconds,
    ) -> None:
        """Add tasks of a claimed job to the queue."""
        for task in tasks:
            self._waiting.setdefault(task.job_id, deque()).append(task)
        self._count += len(tasks)

    def assignments(self, now_ms: Milliseconds) -> list[Assignment]:
        """Return what to start now; the tasks leave the queue."""
        found: list[Assignment] = []
        if not self._any_free():
            return found
        for job_id in list(self._waiting):
            found.extend(self._assign(job_id))
            if not self._any_free():
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
        """Queue a task again, a bounded number of times."""
        self._release(worker)
        if task.attempt >= MAX_ATTEMPTS:
            return Failure(FailureReason.RETRY_BUDGET_SPENT)
        task.excluded |= {worker}
        self.enqueue((task,), now_ms)
        return None

    def task_lost(self, worker: str, task: WaitingTask) -> None:
        """Free the slot of a task whose state nobody knows."""
        self._release(worker)

    def cancel(self, job_id: JobId) -> list[WaitingTask]:
        """Remove the waiting tasks of a job."""
        removed = list(self._waiting.pop(job_id, ()))
        self._count -= len(removed)
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
        """Return the next time to look for expired tasks."""
        return now_ms + _EXPIRY_POLL_MS

    def _release(self, worker: str) -> None:
        guard = self._guards.get(worker)
        if guard is not None:
            guard.placed = max(0, guard.placed - 1)

    def _any_free(self) -> bool:
        return any(_free(guard) for guard in self._guards.values())

    def _assign(self, job_id: JobId) -> list[Assignment]:
        chosen: dict[str, list[WaitingTask]] = {}
        kept: deque[WaitingTask] = deque()
        for task in self._waiting[job_id]:
            guard = self._next_guard(task)
            if guard is None:
                kept.append(task)
            else:
                guard.placed += 1
                chosen.setdefault(guard.worker, []).append(task)
        self._count -= len(self._waiting[job_id]) - len(kept)
        self._waiting[job_id] = kept
        if not kept:
            self._waiting.pop(job_id)
        return [
            Assignment(worker, job_id, tuple(tasks))
            for worker, tasks in chosen.items()
        ]

    def _next_guard(self, task: WaitingTask) -> _Guard | None:
        allowed = [
            guard for guard in self._guards.values() if self._fits(guard, task)
        ]
        fresh = [
            guard for guard in allowed if guard.worker not in task.excluded
        ]
        candidates = fresh or allowed
        if not candidates:
            return None
        self._guards.move_to_end(candidates[0].worker)
        return candidates[0]

    def _fits(self, guard: _Guard, task: WaitingTask) -> bool:
        if not _free(guard) or guard.service != task.service:
            return False
        policy = self._configuration.policy_for(task.service, task.kind)
        return policy is None or policy.allows(guard.worker, guard.place)


def _free(guard: _Guard) -> bool:
    return not guard.leaving and guard.placed < guard.slots
