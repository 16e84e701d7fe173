"""Slot scheduler in order of arrival, the baseline for comparison."""

from __future__ import annotations

from borageward.clock import Milliseconds
from borageward.configuration import Limits
from borageward.failures import Failure, FailureReason
from borageward.identity import JobId
from borageward.messages.guard import GuardLoad
from borageward.messages.task import RunClass
from borageward.policy.scheduler import GuardTask

_SMOOTHING_FACTOR = 0.1
_MIN_RUN_MS = 1.0


class FifoSlotScheduler:
    """Assigns slots in order of arrival, without classes or priorities."""

    def __init__(self, slots: int, limits: Limits | None = None) -> None:
        """Create a scheduler for a runner with a number of slots."""
        self._slots = slots
        self._limits = limits or Limits()
        self._running = 0
        self._speed = 1.0
        self._queue: dict[tuple[JobId, int], GuardTask] = {}

    def configure(self, limits: Limits) -> None:
        """Apply new limits; tasks that are already queued stay queued."""
        self._limits = limits

    def offer(self, task: GuardTask, now_ms: Milliseconds) -> Failure | None:
        """Queue a task, or return ``QUEUE_FULL`` if the limit is reached."""
        free_slots = max(0, self._slots - self._running)
        if len(self._queue) >= self._limits.guard_queue_tasks + free_slots:
            return Failure(FailureReason.QUEUE_FULL, 'guard queue is full')
        self._queue[(task.job_id, task.index)] = task
        return None

    def take(self, now_ms: Milliseconds) -> GuardTask | None:
        """Dequeue the oldest task if a slot is free, otherwise return None."""
        if self._running >= self._slots or not self._queue:
            return None
        task = self._queue.pop(next(iter(self._queue)))
        task.started_ms = now_ms
        self._running += 1
        return task

    def expired(self, now_ms: Milliseconds) -> list[GuardTask]:
        """Remove and return queued tasks whose deadline has passed."""
        late = [
            task for task in self._queue.values() if task.deadline_ms <= now_ms
        ]
        for task in late:
            self._queue.pop((task.job_id, task.index))
        return late

    def release(self, task: GuardTask, run_ms: Milliseconds) -> None:
        """Free the slot of a task; a run time above 0 updates the speed."""
        self._running -= 1
        if run_ms > 0 and task.expected_ms > 0:
            sample = task.expected_ms / max(run_ms, _MIN_RUN_MS)
            self._speed += _SMOOTHING_FACTOR * (sample - self._speed)

    def withdraw(self, job_id: JobId, index: int) -> GuardTask | None:
        """Remove and return a queued task, or None if it is not queued."""
        return self._queue.pop((job_id, index), None)

    def load(self, leaving: bool) -> GuardLoad:
        """Return the load report; ``leaving`` is copied into it."""
        queued = self._queue.values()
        short = sum(task.run_class is RunClass.SHORT for task in queued)
        return GuardLoad(
            slots=self._slots,
            free_slots=max(0, self._slots - self._running - len(queued)),
            queued_short=short,
            queued_long=len(queued) - short,
            queued_ms=sum(task.expected_ms for task in queued),
            leaving=leaving,
            speed=self._speed,
        )
