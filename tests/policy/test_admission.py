"""Admission of jobs and the order of the queue at an entry."""

from __future__ import annotations

from types import MappingProxyType

from borageward.configuration import Configuration, Limits, Service
from borageward.failures import FailureReason
from tests.policy.builders import (
    NOW_MS,
    guard_load,
    learnt_policy,
    need,
    assigned_counts,
    waiting,
    waiting_job,
)

FULL = MappingProxyType({'only': guard_load(free=0, queued=2)})


def test_job_that_fits_is_admitted():
    """Guards against refusals while slots are free."""
    policy = learnt_policy({'only': guard_load()})
    assert policy.admit(need(8), NOW_MS) is None


def test_job_behind_a_long_queue_is_refused_before_its_claim():
    """Guards against jobs admitted behind a queue that makes them late."""
    policy = learnt_policy(FULL)
    for job in 'abcdefgh':
        policy.enqueue(waiting_job(job, 20), NOW_MS)
    refusal = policy.admit(need(20), NOW_MS)
    assert refusal.reason is FailureReason.OVERLOADED


def test_urgent_job_does_not_wait_for_other_tasks():
    """Guards against urgent jobs refused because of less urgent tasks."""
    policy = learnt_policy(FULL)
    for job in 'abcdefgh':
        policy.enqueue(waiting_job(job, 20), NOW_MS)
    urgent = need(2, urgent=True, remaining_ms=2000)
    assert policy.admit(urgent, NOW_MS) is None


def test_single_task_is_admitted_beside_a_large_job():
    """Guards against a single task refused because of a job of 150 tasks.

    Jobs are served round-robin, so only one of the 150 tasks is ahead of it.
    """
    policy = learnt_policy(FULL)
    policy.enqueue(waiting_job('a', 150), NOW_MS)
    assert policy.admit(need(1), NOW_MS) is None


def test_full_queue_refuses():
    """Guards against a queue, and so memory, that grows without limit."""
    policy = learnt_policy({'only': guard_load()})
    limits = Limits(max_queued_tasks=10)
    policy.configure(
        Configuration({}, (), limits, approval_required=False),
        1,
    )
    refusal = policy.admit(need(11), NOW_MS)
    assert refusal.reason is FailureReason.OVERLOADED


def test_no_runner_for_a_service_refuses():
    """Guards against jobs that wait although no worker can run them."""
    policy = learnt_policy({'only': guard_load()})
    refusal = policy.admit(need(1, service='forecast'), NOW_MS)
    assert refusal.reason is FailureReason.NO_RUNNER


def test_runners_of_another_service_do_not_count():
    """Guards against admission based on capacity that the job cannot use."""
    policy = learnt_policy(FULL)
    for number in range(20):
        policy.add_guard(f'f{number}', '', 'forecast', guard_load())
    for job in 'abcdefgh':
        policy.enqueue(waiting_job(job, 20), NOW_MS)
    assert policy.admit(need(20), NOW_MS) is not None


def test_service_below_its_quota_goes_first():
    """Guards against slots that a service keeps beyond its quota.

    The owner of the quota must get the next free slot although tasks of the
    other service have waited longer.
    """
    policy = learnt_policy({})
    policy.add_guard('shared', '', '*', guard_load(free=1, queued=0))
    services = {
        'dispatch': Service('dispatch', 0, 1, 5000),
        'forecast': Service('forecast', 8, 1, 5000),
    }
    policy.configure(
        Configuration(services, (), Limits(), approval_required=False),
        1,
    )
    owner = waiting('b')
    owner.service = 'forecast'
    policy.enqueue(waiting_job('a', 20), NOW_MS)
    policy.enqueue([owner], NOW_MS)
    first = policy.assignments(NOW_MS)[0]
    assert first.job_id == b'b'


def test_urgent_task_is_placed_first():
    """Guards against urgent tasks that wait behind less urgent ones."""
    policy = learnt_policy({'only': guard_load(free=1)})
    policy.enqueue(waiting_job('a', 20), NOW_MS)
    policy.enqueue([waiting('u', urgent=True)], NOW_MS)
    assert policy.assignments(NOW_MS)[0].job_id == b'u'


def test_jobs_of_a_lane_take_turns():
    """Guards against a large job that delays a single task queued later."""
    policy = learnt_policy({'only': guard_load()})
    policy.enqueue(waiting_job('a', 50), NOW_MS)
    policy.enqueue([waiting('b')], NOW_MS)
    assert b'b' in {one.job_id for one in policy.assignments(NOW_MS)}


def test_tasks_past_their_deadline_leave_the_queue():
    """Guards against starts of tasks that can no longer end in time."""
    policy = learnt_policy(FULL)
    policy.enqueue(waiting_job('a', 5), NOW_MS)
    assert len(policy.expired(NOW_MS + 5000)) == 5
    assert policy.queued_tasks == 0


def test_cancelled_job_leaves_the_queue():
    """Guards against starts of tasks whose job was cancelled."""
    policy = learnt_policy(FULL)
    policy.enqueue(waiting_job('a', 5), NOW_MS)
    assert len(policy.cancel(b'a')) == 5
    policy.load_reported('only', guard_load())
    assert not assigned_counts(policy)
