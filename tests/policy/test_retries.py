"""Retries of tasks that a guard reports as ``not_run``."""

from __future__ import annotations

from borageward.failures import FailureReason
from tests.policy.builders import (
    NOW_MS,
    guard_load,
    learnt_policy,
    assigned_counts,
    waiting,
    waiting_job,
)


def test_retry_goes_to_another_worker_after_a_delay():
    """Guards against immediate retries and those at the worker that refused."""
    loads = {'fast': guard_load(speed=2), 'slow': guard_load()}
    policy = learnt_policy(loads)
    task = waiting('a')
    policy.enqueue([task], NOW_MS)
    assert assigned_counts(policy) == {'fast': 1}
    assert policy.task_not_run('fast', task, NOW_MS) is None
    assert not assigned_counts(policy)
    assert assigned_counts(policy, policy.next_wake_ms(NOW_MS)) == {'slow': 1}


def test_task_that_is_not_idempotent_is_not_retried():
    """Guards against a second start of a task that is not idempotent."""
    policy = learnt_policy({'only': guard_load()})
    task = waiting('a', idempotent=False)
    policy.enqueue([task], NOW_MS)
    assigned_counts(policy)
    refusal = policy.task_not_run(
        'only',
        task,
        NOW_MS,
        reason=FailureReason.LEAVING,
    )
    assert refusal.reason is FailureReason.LEAVING


def test_retries_stay_within_the_budget():
    """Guards against retries that multiply the load at its peak."""
    loads = {name: guard_load() for name in 'abcdefghijklmnopqrst'}
    policy = learnt_policy(loads)
    tasks = waiting_job('a', 150)
    policy.enqueue(tasks, NOW_MS)
    policy.assignments(NOW_MS)
    refusals = [policy.task_not_run('a', task, NOW_MS) for task in tasks]
    retried = refusals.count(None)
    assert retried == 50
    assert refusals[-1].reason is FailureReason.RETRY_BUDGET_SPENT
