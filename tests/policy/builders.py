"""Builders of tasks, load reports and policies for the policy tests."""

from __future__ import annotations

import random

from borageward.messages.guard import GuardLoad
from borageward.messages.task import RunClass
from borageward.policy.adaptive_dispatch import (
    AdaptiveDispatchPolicy,
    DispatchParts,
)
from borageward.policy.dispatch import JobNeed, WaitingTask
from borageward.policy.run_times import LearntRunTimes
from borageward.policy.scheduler import GuardTask

SERVICE = 'dispatch'
SLOTS = 8
NOW_MS = 1000
DEADLINE_MS = 6000


def guard_load(free=SLOTS, queued=0, speed=1, leaving=False):
    """Return a load report of a guard whose runner has ``SLOTS`` slots."""
    return GuardLoad(SLOTS, free, queued, 0, 0, leaving, speed)


def waiting(job, index=0, urgent=False, idempotent=True, kind='stock'):
    """Return a waiting task; ``job`` is the text of the job id."""
    return WaitingTask(
        job_id=job.encode(),
        index=index,
        service=SERVICE,
        kind=kind,
        urgent=urgent,
        idempotent=idempotent,
        deadline_ms=DEADLINE_MS,
        enqueued_ms=NOW_MS,
    )


def waiting_job(job, count, **options):
    """Return a number of waiting tasks of one job."""
    return [waiting(job, index, **options) for index in range(count)]


def need(count, urgent=False, remaining_ms=5000, service=SERVICE):
    """Return the ``JobNeed`` of a job with ``count`` stock checks."""
    return JobNeed(b'n', service, urgent, remaining_ms, ('stock',) * count)


def guard_task(job, index=0, run_class=RunClass.SHORT, urgent=False):
    """Return a task that a guard accepted, with 500 ms expected run time."""
    return GuardTask(
        job_id=job.encode(),
        index=index,
        service=SERVICE,
        kind='stock',
        payload=b'',
        urgent=urgent,
        run_class=run_class,
        expected_ms=500,
        deadline_ms=DEADLINE_MS,
    )


def policy_with(loads, place='nadi-depot', **parts):
    """Return a policy with workers of the given loads by name."""
    policy = AdaptiveDispatchPolicy(
        place,
        random.Random(1),
        DispatchParts(**parts),
    )
    for worker, reported in loads.items():
        policy.add_guard(worker, place, SERVICE, reported)
    return policy


def learnt_policy(loads, **parts):
    """Return a policy that has learnt that stock checks take 500 ms."""
    run_times = LearntRunTimes()
    for _ in range(10):
        run_times.observe(SERVICE, 'stock', 500)
    return policy_with(loads, run_times=run_times, **parts)


def assigned_counts(policy, now_ms=NOW_MS):
    """Assign the waiting tasks; return the number for each worker."""
    counts = {}
    for assignment in policy.assignments(now_ms):
        tasks = counts.get(assignment.worker, 0) + len(assignment.tasks)
        counts[assignment.worker] = tasks
    return counts
