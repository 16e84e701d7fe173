"""Task starts per second through one entry, and CPU time per start."""

from __future__ import annotations

import itertools
import pathlib
import tempfile
import time
from typing import Any

from bench.report import median, percentile, print_table
from standins.caller import job_body
from standins.closed_loop import run_closed_loop
from standins.deployment import Deployment

_GUARDS = 5
_SLOTS = 32
_RUN_MS = 5.0
_DEADLINE_MS = 60_000
# Pairs of tasks per job and number of jobs.
_TASKS_AND_JOBS = ((1, 1600), (15, 480), (150, 96))
_SETTLE_S = 2.0


def main() -> None:
    """Start a deployment, measure all loads and print the table."""
    with tempfile.TemporaryDirectory(prefix='borageward-') as folder:
        deployment = Deployment(
            pathlib.Path(folder),
            controls=1,
            entries=1,
            guards=_GUARDS,
            slots=_SLOTS,
        )
        try:
            deployment.start()
            time.sleep(_SETTLE_S)
            _measure(deployment)
        finally:
            deployment.stop()


def _measure(deployment: Deployment) -> None:
    run_closed_loop(deployment.entry_addresses[0], _jobs(deployment, 1, 50))
    rows = [
        _measure_row(deployment, tasks, jobs) for tasks, jobs in _TASKS_AND_JOBS
    ]
    print_table(
        (
            'tasks a job',
            'jobs',
            'complete',
            'starts/s',
            'median ms',
            'p99 ms',
            'entry ms CPU/start',
            'guard ms CPU/start',
            'control ms CPU/job',
        ),
        rows,
    )


def _measure_row(
    deployment: Deployment,
    tasks: int,
    jobs: int,
) -> tuple[float, ...]:
    before = _cpu_seconds(deployment)
    loop = run_closed_loop(
        deployment.entry_addresses[0],
        _jobs(deployment, tasks, jobs),
    )
    used_s = [
        later - earlier
        for later, earlier in zip(_cpu_seconds(deployment), before)
    ]
    complete = loop.response_ms
    starts = tasks * len(complete)
    costs = (
        1000 * used_s[0] / starts,
        1000 * used_s[1] / starts,
        1000 * used_s[2] / len(complete),
    )
    counts = (tasks, jobs, len(complete), starts / loop.took_s)
    times = (median(complete), percentile(complete))
    return (*counts, *times, *costs)


def _cpu_seconds(deployment: Deployment) -> tuple[float, float, float]:
    entry = deployment.entries[0].cpu_seconds()
    guards = sum(guard.cpu_seconds() for guard in deployment.guards)
    control = deployment.controls[0].cpu_seconds()
    return entry, guards, control


def _jobs(
    deployment: Deployment,
    tasks: int,
    jobs: int,
) -> list[dict[str, Any]]:
    run_times = list(itertools.repeat(_RUN_MS, tasks))
    return [
        job_body(deployment.service, run_times, _DEADLINE_MS)
        for _ in range(jobs)
    ]


if __name__ == '__main__':
    main()
