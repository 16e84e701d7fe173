"""Ideal response times, which the simulated ones are compared with.

The ideal dispatcher is a central queue that knows all run times and speeds and
needs no messages.
"""

from __future__ import annotations

from bench.policies.workload import SLOTS, Deployment, Job


def ideal_responses(
    deployment: Deployment,
    jobs: list[Job],
) -> dict[int, float]:
    """Return the ideal response time in milliseconds by job number.

    Jobs are handled in order of arrival, the longest task of each job first.
    Each task is assigned to the slot where it finishes first.
    """
    slots = [[speed, 0] for speed in deployment.speeds for _ in range(SLOTS)]
    responses = {}
    for job in jobs:
        finish_ms = job.arrival_ms
        for size_ms in sorted(job.sizes_ms, reverse=True):
            done_ms = _assign(slots, job.arrival_ms, size_ms)
            finish_ms = max(finish_ms, done_ms)
        responses[job.number] = finish_ms - job.arrival_ms
    return responses


def _assign(
    slots: list[list[float]],
    now_ms: float,
    size_ms: float,
) -> float:
    earliest = min(
        slots,
        key=lambda slot: max(now_ms, slot[1]) + size_ms / slot[0],
    )
    earliest[1] = max(now_ms, earliest[1]) + size_ms / earliest[0]
    return earliest[1]
