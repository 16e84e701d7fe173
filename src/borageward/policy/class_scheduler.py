"""Slots of a runner: short work is not held up behind long work."""

from __future__ import annotations

import math

from borageward.clock import Milliseconds
from borageward.configuration import Limits
from borageward.failures import Failure, FailureReason
from borageward.identity import JobId
from borageward.messages.guard import GuardLoad
from borageward.messages.task import RunClass
from borageward.policy.guard_queue import GuardQueue, QueueName
from borageward.policy.long_work import LongWorkPort, NoLongWorkPort
from borageward.policy.scheduler import GuardTask
from borageward.policy.speed import RunnerSpeed

# Urgent work first, then short before long work.
_ORDER = (
    QueueName(urgent=True, run_class=RunClass.SHORT),
    QueueName(urgent=True, run_class=RunClass.LONG),
    QueueName(urgent=False, run_class=RunClass.SHORT),
    QueueName(urgent=False, run_class=RunClass.LONG),
)


class ClassSlotScheduler:
    """Gives slots by urgency and class, in turn to the jobs of a queue.

    Long work never holds more than ``long_slots_share`` of the slots, nor the
    slots kept for short work. A running task that was expected to be short
    counts as long once it has run for ``long_task_ms``.
    """

    def __init__(
        self,
        slots: int,
        limits: Limits | None = None,
        speed: RunnerSpeed | None = None,
        port: LongWorkPort | None = None,
    ) -> None:
        """Schedule the slots of one runner."""
        self._slots = slots
        self._limits = limits or Limits()
        self._speed = speed or RunnerSpeed()
        self._queues = {name: GuardQueue() for name in _ORDER}
        self._queue_of: dict[tuple[JobId, int], GuardQueue] = {}
        self._running: dict[tuple[JobId, int], GuardTask] = {}
        self._port = port or NoLongWorkPort()
        self._aside: dict[tuple[JobId, int], GuardTask] = {}
        self._now_ms: Milliseconds = 0

    @property
    def free_slots(self) -> int:
        """Return the number of slots without a task."""
        return max(0, self._slots - len(self._running))

    @property
    def queued(self) -> int:
        """Return the number of queued tasks."""
        return len(self._queue_of)

    def configure(self, limits: Limits) -> None:
        """Use new limits."""
        self._limits = limits

    def resize(self, slots: int) -> None:
        """Use a new number of slots; running tasks keep theirs."""
        self._slots = slots

    def offer(self, task: GuardTask, now_ms: Milliseconds) -> Failure | None:
        """Queue a task; ``DEADLINE_EXCEEDED`` or ``QUEUE_FULL`` refuse it."""
        if task.deadline_ms <= now_ms:
            return Failure(FailureReason.DEADLINE_EXCEEDED)
        bound = self._limits.guard_queue_tasks + self.free_slots
        if self.queued >= bound:
            return Failure(FailureReason.QUEUE_FULL, 'guard queue is full')
        queue = self._queues[QueueName(task.urgent, task.run_class)]
        queue.push(task)
        self._queue_of[(task.job_id, task.index)] = queue
        return None

    def take(self, now_ms: Milliseconds) -> GuardTask | None:
        """Return the task to start now and occupy a slot, or nothing."""
        self._now_ms = now_ms
        if not self.free_slots:
            self._make_room(now_ms)
        if not self.free_slots:
            return None
        long_tasks = self._running_long(now_ms) + len(self._aside)
        long_allowed = long_tasks < self._long_slots()
        for name in _ORDER:
            if name.run_class is RunClass.LONG and not long_allowed:
                continue
            task = self._queues[name].take()
            if task is not None:
                return self._start(task, now_ms)
        self._bring_back()
        return None

    def expired(self, now_ms: Milliseconds) -> list[GuardTask]:
        """Remove and return queued tasks whose deadline has passed."""
        removed: list[GuardTask] = []
        for queue in self._queues.values():
            removed.extend(queue.expired(now_ms))
        for task in removed:
            self._queue_of.pop((task.job_id, task.index))
        return removed

    def release(self, task: GuardTask, run_ms: Milliseconds) -> None:
        """Free the slot of a task that ran."""
        self._running.pop((task.job_id, task.index), None)
        self._aside.pop((task.job_id, task.index), None)
        if task.run_class is RunClass.SHORT:
            self._speed.observe(task.expected_ms, run_ms)

    def withdraw(self, job_id: JobId, index: int) -> GuardTask | None:
        """Remove a queued task; nothing when it is not queued."""
        queue = self._queue_of.pop((job_id, index), None)
        if queue is None:
            return None
        return queue.remove(job_id, index)

    def load(self, leaving: bool) -> GuardLoad:
        """Return the load to report."""
        counts = {RunClass.SHORT: 0, RunClass.LONG: 0}
        queued_ms: Milliseconds = 0
        for name, queue in self._queues.items():
            counts[name.run_class] += queue.task_count
            queued_ms += queue.work_ms
        return GuardLoad(
            slots=self._slots,
            free_slots=self.free_slots,
            queued_short=counts[RunClass.SHORT],
            queued_long=counts[RunClass.LONG],
            queued_ms=queued_ms,
            leaving=leaving,
            speed=self._speed.value,
            running_long=self._running_long(self._now_ms),
        )

    def _start(self, task: GuardTask, now_ms: Milliseconds) -> GuardTask:
        key = (task.job_id, task.index)
        self._queue_of.pop(key)
        task.started_ms = now_ms
        self._running[key] = task
        return task

    def _make_room(self, now_ms: Milliseconds) -> None:
        """Move one overdue task aside when short work waits behind it."""
        waiting = any(
            queue.task_count
            for name, queue in self._queues.items()
            if name.run_class is RunClass.SHORT
        )
        if not waiting or self._running_long(now_ms) <= self._long_slots():
            return
        for key, task in self._running.items():
            if self._is_long(task, now_ms) and self._port.move_aside(task):
                self._aside[key] = self._running.pop(key)
                return

    def _bring_back(self) -> None:
        """Give the free slots to tasks that were moved aside."""
        for key in tuple(self._aside)[: self.free_slots]:
            task = self._aside.pop(key)
            self._running[key] = task
            self._port.bring_back(task)

    def _long_slots(self) -> int:
        """Return the number of slots that long work may hold; at least 1."""
        kept = math.ceil(self._slots * self._limits.short_slots_share)
        share = math.floor(self._slots * self._limits.long_slots_share)
        return max(1, min(share, self._slots - kept))

    def _running_long(self, now_ms: Milliseconds) -> int:
        return sum(
            1 for task in self._running.values() if self._is_long(task, now_ms)
        )

    def _is_long(self, task: GuardTask, now_ms: Milliseconds) -> bool:
        overdue = now_ms - task.started_ms > self._limits.long_task_ms
        return overdue or task.run_class is RunClass.LONG
