"""Scheduling of a runner's slots between short and long tasks."""

from __future__ import annotations

from borageward.configuration import Limits
from borageward.messages.task import RunClass
from borageward.policy.class_scheduler import ClassSlotScheduler
from tests.policy.builders import NOW_MS, SLOTS, guard_task


def _started(scheduler, now_ms=NOW_MS):
    started = []
    task = scheduler.take(now_ms)
    while task is not None:
        started.append(task)
        task = scheduler.take(now_ms)
    return started


def test_long_tasks_leave_slots_to_short_tasks():
    """Guards against long tasks that occupy all slots of a runner.

    Short tasks that arrive later would then wait for a long run to end.
    """
    scheduler = ClassSlotScheduler(SLOTS, Limits(long_slots_share=0.5))
    for index in range(20):
        scheduler.offer(guard_task('l', index, RunClass.LONG), NOW_MS)
    assert len(_started(scheduler)) == 4
    scheduler.offer(guard_task('s'), NOW_MS)
    assert [task.job_id for task in _started(scheduler)] == [b's']


def test_overdue_short_task_counts_as_long():
    """Guards against long tasks on too many slots after wrong estimates.

    Tasks that were expected to be short run for longer than the limit. They
    must count against the slots of long tasks.
    """
    scheduler = ClassSlotScheduler(SLOTS, Limits(long_slots_share=0.5))
    for index in range(4):
        scheduler.offer(guard_task('h', index), NOW_MS)
    assert len(_started(scheduler)) == 4
    scheduler.offer(guard_task('l', 0, RunClass.LONG), NOW_MS)
    assert not _started(scheduler, NOW_MS + 3000)


class _Platform:
    def __init__(self):
        self.resumed = []

    def preempt(self, task):
        return True

    def resume(self, task):
        self.resumed.append(task)


def test_overdue_task_is_preempted_for_short_task():
    """Guards against short tasks blocked by overdue tasks in all slots.

    All running tasks were expected to be short. One of them is preempted for
    a waiting short task and resumes when that task ends.
    """
    platform = _Platform()
    scheduler = ClassSlotScheduler(SLOTS, port=platform)
    for index in range(SLOTS):
        scheduler.offer(guard_task('h', index), NOW_MS)
    assert len(_started(scheduler)) == SLOTS
    scheduler.offer(guard_task('s'), NOW_MS + 3000)
    short = _started(scheduler, NOW_MS + 3000)[0]
    assert short.job_id == b's'
    assert not platform.resumed
    scheduler.release(short, 100)
    assert not _started(scheduler, NOW_MS + 3100)
    assert len(platform.resumed) == 1


def test_jobs_take_turns():
    """Guards against a small job that waits for all tasks of a large one."""
    scheduler = ClassSlotScheduler(1)
    for index in range(50):
        scheduler.offer(guard_task('a', index), NOW_MS)
    scheduler.offer(guard_task('b'), NOW_MS)
    first = scheduler.take(NOW_MS)
    scheduler.release(first, 100)
    assert scheduler.take(NOW_MS).job_id == b'b'


def test_urgent_queued_task_starts_first():
    """Guards against an urgent task that waits behind a normal one."""
    scheduler = ClassSlotScheduler(1)
    scheduler.offer(guard_task('a'), NOW_MS)
    scheduler.offer(guard_task('u', urgent=True), NOW_MS)
    assert scheduler.take(NOW_MS).job_id == b'u'


def test_withdrawn_task_never_starts():
    """Guards against the start of a task that was withdrawn before."""
    scheduler = ClassSlotScheduler(1)
    scheduler.offer(guard_task('a'), NOW_MS)
    assert scheduler.withdraw(b'a', 0) is not None
    assert scheduler.withdraw(b'a', 0) is None
    assert scheduler.take(NOW_MS) is None
    assert scheduler.load(leaving=False).queued_short == 0
