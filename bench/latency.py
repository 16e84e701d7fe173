"""Response time that dispatching adds to jobs of 1, 15 and 150 tasks.

The baseline of a job is the response time of a single request sent directly to
a runner, measured in the same run. It is multiplied by the number of rounds
that the slots need to run all tasks of the job.
"""

from __future__ import annotations

import itertools
import math
import pathlib
import tempfile
import time
import types

import httpx

from bench.report import median, percentile, print_table
from standins.caller import job_body, new_id
from standins.deployment import Deployment

_GUARDS = 10
_SLOTS = 8
_RUN_MS = 50.0
_DEADLINE_MS = 20_000
_JOBS_BY_TASKS = types.MappingProxyType({1: 200, 15: 100, 150: 50})
_WARM_UP_JOBS = 10
_MS_PER_SECOND = 1000.0


def main() -> None:
    """Start a deployment, measure all job sizes and print the table."""
    with tempfile.TemporaryDirectory(prefix='borageward-') as folder:
        deployment = Deployment(
            pathlib.Path(folder),
            controls=1,
            entries=2,
            guards=_GUARDS,
            slots=_SLOTS,
        )
        try:
            deployment.start()
            _measure(deployment)
        finally:
            deployment.stop()


def _measure(deployment: Deployment) -> None:
    time.sleep(2)
    bare_times_ms = [_bare_ms(deployment) for _ in range(_JOBS_BY_TASKS[1])]
    rows = []
    for tasks, jobs in _JOBS_BY_TASKS.items():
        for _ in range(_WARM_UP_JOBS):
            _job_ms(deployment, tasks)
        times_ms = [_job_ms(deployment, tasks) for _ in range(jobs)]
        rounds = math.ceil(tasks / (_GUARDS * _SLOTS))
        ideal_ms = rounds * median(bare_times_ms)
        rows.append(
            (
                tasks,
                jobs,
                ideal_ms,
                median(times_ms),
                percentile(times_ms),
                median(times_ms) - ideal_ms,
            ),
        )
    print_table(
        ('tasks', 'jobs', 'bare ms', 'median ms', 'p99 ms', 'added ms'),
        rows,
    )


def _bare_ms(deployment: Deployment) -> float:
    body = {
        'job': new_id(),
        'task': 0,
        'kind': 'bench',
        'payload': {'run_ms': _RUN_MS},
    }
    address = deployment.runner_addresses[0]
    return _timed_post(f'http://{address}/run', body)


def _job_ms(deployment: Deployment, tasks: int) -> float:
    body = job_body(
        deployment.service,
        list(itertools.repeat(_RUN_MS, tasks)),
        _DEADLINE_MS,
    )
    address = deployment.entry_addresses[0]
    return _timed_post(f'http://{address}/v1/jobs', body)


_CLIENT = httpx.Client(timeout=30)


def _timed_post(url: str, body: dict[str, object]) -> float:
    started_s = time.monotonic()
    reply = _CLIENT.post(url, json=body)
    took_s = time.monotonic() - started_s
    reply.raise_for_status()
    return took_s * _MS_PER_SECOND


if __name__ == '__main__':
    main()
