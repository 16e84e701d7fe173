"""Time of cancellation waves of growing size."""

from __future__ import annotations

import random
import time

from bench.policies.workload import SLOTS
from borageward.messages.guard import GuardLoad
from borageward.policy.adaptive_dispatch import AdaptiveDispatchPolicy
from borageward.policy.dispatch import WaitingTask

TASKS_PER_JOB = 50
SIZES = (4000, 8000, 16_000, 32_000, 64_000)


def wave_ms(tasks: int) -> float:
    """Return the time to cancel a number of waiting tasks."""
    policy = AdaptiveDispatchPolicy('nadi-depot', random.Random(1))
    full = GuardLoad(SLOTS, 0, 64, 0, 0, leaving=False, speed=1)
    policy.add_guard('worker-0', 'nadi-depot', '*', full)
    job_ids = [
        number.to_bytes(16, 'big') for number in range(tasks // TASKS_PER_JOB)
    ]
    for job_id in job_ids:
        policy.enqueue([_task(job_id, one) for one in range(TASKS_PER_JOB)], 0)
    begun = time.perf_counter()
    for cancelled in job_ids:
        policy.cancel(cancelled)
    return (time.perf_counter() - begun) * 1000


def best_wave_ms(tasks: int) -> float:
    """Return the shortest of three waves, free of the machine's noise."""
    return min(wave_ms(tasks) for _ in range(3))


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
