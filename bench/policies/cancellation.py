"""Time to cancel all waiting jobs of a dispatch policy, by queue size."""

from __future__ import annotations

import random
import time

from bench.policies.workload import SLOTS
from borageward.messages.guard import GuardLoad
from borageward.policy.adaptive_dispatch import AdaptiveDispatchPolicy
from borageward.policy.dispatch import WaitingTask

TASKS_PER_JOB = 50
TASK_COUNTS = (4000, 8000, 16_000, 32_000, 64_000)


def cancellation_ms(tasks: int) -> float:
    """Return the milliseconds to cancel the jobs of ``tasks`` waiting tasks."""
    policy = AdaptiveDispatchPolicy('nadi-depot', random.Random(1))
    full_load = GuardLoad(SLOTS, 0, 64, 0, 0, leaving=False, speed=1)
    policy.add_guard('worker-0', 'nadi-depot', '*', full_load)
    job_ids = [
        number.to_bytes(16, 'big') for number in range(tasks // TASKS_PER_JOB)
    ]
    for job_id in job_ids:
        policy.enqueue(
            [_task(job_id, task_index) for task_index in range(TASKS_PER_JOB)],
            0,
        )
    begun = time.perf_counter()
    for cancelled in job_ids:
        policy.cancel(cancelled)
    return (time.perf_counter() - begun) * 1000


def min_cancellation_ms(tasks: int) -> float:
    """Return the shortest of three measurements, in milliseconds.

    Other load on the machine can only lengthen a measurement.
    """
    return min(cancellation_ms(tasks) for _ in range(3))


def _task(job_id: bytes, index: int) -> WaitingTask:
    return WaitingTask(
        job_id,
        index,
        'dispatch',
        'stock',
        urgent=False,
        idempotent=True,
        deadline_ms=60_000,
        enqueued_ms=0,
    )
