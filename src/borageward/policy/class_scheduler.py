"""Slot scheduler that keeps slots of a runner free for short tasks."""

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

# Queues in the order of their priority.
_ORDER = (
    QueueName(urgent=True, run_class=RunClass.SHORT),
    QueueName(urgent=True, run_class=RunClass.LONG),
    QueueName(urgent=False, run_class=RunClass.SHORT),
    QueueName(urgent=False, run_class=RunClass.LONG),
)


class ClassSlotScheduler:
    """Assigns slots by urgency and run class, round robin over the jobs.

    Long tasks get at most ``long_slots_share`` of the slots and none of the
    ``short_slots_share`` that is reserved for short tasks, but always at least
    one slot. A running task that was expected to be short counts as long once
    it has run for more than ``long_task_ms``.
    """

    def __init__(
        self,
        slots: int,
        limits: Limits | None = None,
        speed: RunnerSpeed | None = None,
        port: LongWorkPort | None = None,
    ) -> None:
        """Create a scheduler for a runner with a number of slots.

        ``port`` preempts long tasks; by default they keep their slots.
        """
        self._slots = slots
        self._limits = limits or Limits()
        self._speed = speed or RunnerSpeed()
        self._queues = {name: GuardQueue() for name in _ORDER}
        self._queue_of: dict[tuple[JobId, int], GuardQueue] = {}
        self._running: dict[tuple[JobId, int], GuardTask] = {}
        self._port = port or NoLongWorkPort()
        self._preempted: dict[tuple[JobId, int], GuardTask] = {}
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
        """Apply new limits; tasks that are already queued stay queued."""
        self._limits = limits

    def resize(self, slots: int) -> None:
        """Change the number of slots; running tasks keep their slots."""
        self._slots = slots

    def offer(self, task: GuardTask, now_ms: Milliseconds) -> Failure | None:
        """Queue a task.

        Returns ``DEADLINE_EXCEEDED`` if its deadline has passed, ``QUEUE_FULL``
        if ``guard_queue_tasks`` more tasks are queued than slots are free,
        otherwise None.
        """
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
        """Dequeue the next task and occupy a slot; None if none may start.

        If all slots are taken, one long task may be preempted for a short one.
        Slots that no queued task may use return to preempted tasks.
        """
        self._now_ms = now_ms
        if not self.free_slots:
            self._preempt_long_task(now_ms)
        if not self.free_slots:
            return None
        long_tasks = self._running_long(now_ms) + len(self._preempted)
        long_allowed = long_tasks < self._long_slots()
        for name in _ORDER:
            if name.run_class is RunClass.LONG and not long_allowed:
                continue
            task = self._queues[name].take()
            if task is not None:
                return self._start(task, now_ms)
        self._resume_preempted()
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
        """Free the slot of a task; short tasks update the learnt speed."""
        self._running.pop((task.job_id, task.index), None)
        self._preempted.pop((task.job_id, task.index), None)
        if task.run_class is RunClass.SHORT:
            self._speed.observe(task.expected_ms, run_ms)

    def withdraw(self, job_id: JobId, index: int) -> GuardTask | None:
        """Remove and return a queued task, or None if it is not queued."""
        queue = self._queue_of.pop((job_id, index), None)
        if queue is None:
            return None
        return queue.remove(job_id, index)

    def load(self, leaving: bool) -> GuardLoad:
        """Return the load report; ``leaving`` is copied into it."""
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

    def _preempt_long_task(self, now_ms: Milliseconds) -> None:
        """Preempt one long task if short tasks wait for a slot.

        This happens only while long tasks hold more slots than they may, which
        they do when tasks that were expected to be short turn out to be long.
        """
        waiting = any(
            queue.task_count
            for name, queue in self._queues.items()
            if name.run_class is RunClass.SHORT
        )
        if not waiting or self._running_long(now_ms) <= self._long_slots():
            return
        for key, task in self._running.items():
            if self._is_long(task, now_ms) and self._port.preempt(task):
                self._preempted[key] = self._running.pop(key)
                return

    def _resume_preempted(self) -> None:
        """Resume preempted tasks in the free slots, in order of preemption."""
        for key in tuple(self._preempted)[: self.free_slots]:
            task = self._preempted.pop(key)
            self._running[key] = task
            self._port.resume(task)

    def _long_slots(self) -> int:
        """Return the number of slots that long tasks may hold; at least 1."""
        reserved = math.ceil(self._slots * self._limits.short_slots_share)
        share = math.floor(self._slots * self._limits.long_slots_share)
        return max(1, min(share, self._slots - reserved))

    def _running_long(self, now_ms: Milliseconds) -> int:
        return sum(
            1 for task in self._running.values() if self._is_long(task, now_ms)
        )

    def _is_long(self, task: GuardTask, now_ms: Milliseconds) -> bool:
        overdue = now_ms - task.started_ms > self._limits.long_task_ms
        return overdue or task.run_class is RunClass.LONG
