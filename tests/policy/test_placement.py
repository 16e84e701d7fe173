"""Placement over workers with different speeds and loads."""

from __future__ import annotations

from borageward.messages.task import RunClass
from tests.policy.builders import (
    NOW_MS,
    guard_load,
    learnt_policy,
    policy_with,
    assigned_counts,
    waiting,
    waiting_job,
)


def test_single_task_goes_to_fastest_free_worker():
    """Guards against placement that ignores learnt speed."""
    policy = learnt_policy(
        {'slow': guard_load(speed=0.5), 'fast': guard_load(speed=2)}
    )
    policy.enqueue([waiting('a')], NOW_MS)
    assert assigned_counts(policy) == {'fast': 1}


def test_task_waits_for_fast_worker_instead_of_slow_one():
    """Guards against binding a task to a slow worker for a short wait."""
    loads = {
        'slow': guard_load(speed=0.5),
        'fast': guard_load(free=0, queued=2, speed=2),
    }
    policy = learnt_policy(loads)
    policy.enqueue([waiting('a')], NOW_MS)
    assert not assigned_counts(policy)
    policy.load_reported('fast', guard_load(free=1, speed=2), NOW_MS)
    assert assigned_counts(policy) == {'fast': 1}


def test_large_job_uses_slow_workers_too():
    """Guards against idle slow workers while a large job waits."""
    loads = {
        'slow': guard_load(speed=0.5),
        'fast': guard_load(free=0, queued=2, speed=2),
    }
    policy = learnt_policy(loads)
    policy.enqueue(waiting_job('a', 100), NOW_MS)
    assert assigned_counts(policy)['slow'] >= 8


def test_tasks_of_a_job_for_a_worker_share_a_message():
    """Guards against one message for each task of a job."""
    policy = learnt_policy({'only': guard_load()})
    policy.enqueue(waiting_job('a', 8), NOW_MS)
    assert len(policy.assignments(NOW_MS)) == 1


def test_unknown_kind_is_long_until_learnt():
    """Guards against unknown long work on the slots for short work."""
    policy = policy_with({'only': guard_load()})
    task = waiting('a')
    policy.enqueue([task], NOW_MS)
    assert task.run_class is RunClass.LONG
    for _ in range(3):
        policy.task_finished('only', task, 100, failed=False)
    known = waiting('b')
    policy.enqueue([known], NOW_MS)
    assert known.run_class is RunClass.SHORT
