"""Admission, shares and recovery at an entry."""

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
    """Guards against work that is admitted and answered late."""
    policy = learnt_policy(FULL)
    for job in 'abcdefgh':
        policy.enqueue(waiting_job(job, 20), NOW_MS)
    refusal = policy.admit(need(20), NOW_MS)
    assert refusal.reason is FailureReason.OVERLOADED


def test_urgent_job_does_not_wait_for_other_work():
    """Guards against urgent work that is refused for a queue of others."""
    policy = learnt_policy(FULL)
    for job in 'abcdefgh':
        policy.enqueue(waiting_job(job, 20), NOW_MS)
    urgent = need(2, urgent=True, remaining_ms=2000)
    assert policy.admit(urgent, NOW_MS) is None


def test_single_task_is_admitted_beside_a_large_job():
    """Guards against one job's 150 tasks that shut out a neighbour."""
    policy = learnt_policy(FULL)
    policy.enqueue(waiting_job('a', 150), NOW_MS)
    assert policy.admit(need(1), NOW_MS) is None


def test_full_queue_refuses():
    """Guards against memory that grows with the offered load."""
    policy = learnt_policy({'only': guard_load()})
    limits = Limits(max_queued_tasks=10)
    policy.configure(
        Configuration({}, (), limits, approval_required=False),
        1,
    )
    refusal = policy.admit(need(11), NOW_MS)
    assert refusal.reason is FailureReason.OVERLOADED


def test_no_runner_for_a_service_refuses():
    """Guards against jobs that wait for a worker that does not exist."""
    policy = learnt_policy({'only': guard_load()})
    refusal = policy.admit(need(1, service='forecast'), NOW_MS)
    assert refusal.reason is FailureReason.NO_RUNNER


def test_runners_of_another_service_do_not_count():
    """Guards against admission by capacity that a job cannot use."""
    policy = learnt_policy(FULL)
    for number in range(20):
        policy.add_guard(f'f{number}', '', 'forecast', guard_load())
    for job in 'abcdefgh':
        policy.enqueue(waiting_job(job, 20), NOW_MS)
    assert policy.admit(need(20), NOW_MS) is not None


def test_service_below_its_quota_goes_first():
    """Guards against borrowed slots that do not return to their owner."""
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
    """Guards against urgent work that waits in the queue of an entry."""
    policy = learnt_policy({'only': guard_load(free=1)})
    policy.enqueue(waiting_job('a', 20), NOW_MS)
    policy.enqueue([waiting('u', urgent=True)], NOW_MS)
    assert policy.assignments(NOW_MS)[0].job_id == b'u'


def test_jobs_of_a_lane_take_turns():
    """Guards against a large job that holds back a later single task."""
    policy = learnt_policy({'only': guard_load()})
    policy.enqueue(waiting_job('a', 50), NOW_MS)
    policy.enqueue([waiting('b')], NOW_MS)
    assert b'b' in {one.job_id for one in policy.assignments(NOW_MS)}


def test_tasks_past_their_deadline_leave_the_queue():
    """Guards against starts of work whose caller has given up."""
    policy = learnt_policy(FULL)
    policy.enqueue(waiting_job('a', 5), NOW_MS)
    assert len(policy.expired(NOW_MS + 5000)) == 5
    assert policy.queued_tasks == 0


def test_cancelled_job_leaves_the_queue():
    """Guards against starts of cancelled work."""
    policy = learnt_policy(FULL)
    policy.enqueue(waiting_job('a', 5), NOW_MS)
    assert len(policy.cancel(b'a')) == 5
    policy.load_reported('only', guard_load())
    assert not assigned_counts(policy)
