"""Placement of tasks at workers with different speeds and loads."""

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
    """Guards against placement that ignores the learnt speed of runners."""
    policy = learnt_policy(
        {'slow': guard_load(speed=0.5), 'fast': guard_load(speed=2)}
    )
    policy.enqueue([waiting('a')], NOW_MS)
    assert assigned_counts(policy) == {'fast': 1}


def test_task_waits_for_fast_worker_instead_of_slow_one():
    """Guards against placing a task at an idle but slow worker.

    The task would finish earlier at the fast worker, despite the wait there.
    """
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
    """Guards against slow workers left idle while a large job waits."""
    loads = {
        'slow': guard_load(speed=0.5),
        'fast': guard_load(free=0, queued=2, speed=2),
    }
    policy = learnt_policy(loads)
    policy.enqueue(waiting_job('a', 100), NOW_MS)
    assert assigned_counts(policy)['slow'] >= 8


def test_tasks_of_a_job_for_a_worker_share_a_message():
    """Guards against a separate start message for each task of a job."""
    policy = learnt_policy({'only': guard_load()})
    policy.enqueue(waiting_job('a', 8), NOW_MS)
    assert len(policy.assignments(NOW_MS)) == 1


def test_unknown_kind_is_long_until_learnt():
    """Guards against long tasks in the slots reserved for short tasks.

    A kind counts as long until enough of its run times are known.
    """
    policy = policy_with({'only': guard_load()})
    task = waiting('a')
    policy.enqueue([task], NOW_MS)
    assert task.run_class is RunClass.LONG
    for _ in range(3):
        policy.task_finished('only', task, 100, failed=False)
    known = waiting('b')
    policy.enqueue([known], NOW_MS)
    assert known.run_class is RunClass.SHORT
