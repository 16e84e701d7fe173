"""The ideal: a central queue with full knowledge and no message cost."""

from __future__ import annotations

from bench.policies.workload import SLOTS, Deployment, Job


def ideal_responses(
    deployment: Deployment,
    jobs: list[Job],
) -> dict[int, float]:
    """Return the response time of each job by its number.

    Tasks are bound in order of arrival to the slot where they finish first;
    run times and speeds are known exactly.
    """
    free_ms = [[speed, 0] for speed in deployment.speeds for _ in range(SLOTS)]
    responses = {}
    for job in jobs:
        finish_ms = job.arrival_ms
        for size_ms in sorted(job.sizes_ms, reverse=True):
            done_ms = _bind(free_ms, job.arrival_ms, size_ms)
            finish_ms = max(finish_ms, done_ms)
        responses[job.number] = finish_ms - job.arrival_ms
    return responses


def _bind(
    slots: list[list[float]],
    now_ms: float,
    size_ms: float,
) -> float:
    best = min(
        slots,
        key=lambda slot: max(now_ms, slot[1]) + size_ms / slot[0],
    )
    best[1] = max(now_ms, best[1]) + size_ms / best[0]
    return best[1]
