"""Quickstart: run a local deployment and check it under a fault.

Submits jobs, resubmits one through another entry, kills an entry during a job
and compares the answers with the starts that the runners recorded.
"""

from __future__ import annotations

import collections
import itertools
import json
import pathlib
import sys
import tempfile
import time
from typing import Any

from standins.caller import job_body, submit
from standins.deployment import Deployment
from standins.invariants import Exchange

_DEADLINE_MS = 10_000
_RUN_MS = 80.0
_KILLED_JOB_RUN_MS = 1500.0


def main() -> int:
    """Run all steps and return the exit status: 0 if every check passed."""
    started = time.monotonic()
    with tempfile.TemporaryDirectory(prefix='borageward-') as folder:
        deployment = Deployment(pathlib.Path(folder), controls=3)
        try:
            return _run_steps(deployment, started)
        finally:
            deployment.stop()


def _run_steps(deployment: Deployment, started: float) -> int:
    _print_line(
        'Starting 3 control replicas, 3 guards with runners and 2 entries.'
    )
    deployment.start()
    first, second = deployment.entry_addresses
    jobs = [_dispatch_job(deployment, index) for index in range(4)]
    _print_line('Submitting four jobs through the first entry.')
    answers = [submit(first, job) for job in jobs]
    for answer in answers:
        _print_line(json.dumps(answer))
    _print_line('Resubmitting the first job through the second entry.')
    resubmitted = submit(second, jobs[0])
    _print_line(json.dumps(resubmitted))
    interrupted = _kill_entry(deployment)
    return _report_checks(
        deployment,
        [*jobs, interrupted.body],
        {
            'all four jobs complete': all(map(_is_complete, answers)),
            'resubmission got the same answer': resubmitted == answers[0],
            'interrupted job complete': _is_complete(interrupted.answer),
        },
        started,
    )


def _kill_entry(deployment: Deployment) -> Exchange:
    """Kill the first entry during a job; resubmit the job to the second.

    Returns the job and the second entry's answer. The first submission times
    out on purpose while the tasks run.
    """
    _print_line(
        'Killing the first entry during a job and resubmitting to the second.'
    )
    run_times = list(itertools.repeat(_KILLED_JOB_RUN_MS, 6))
    job = job_body(deployment.service, run_times, _DEADLINE_MS)
    first, second = deployment.entry_addresses
    try:
        submit(first, job, timeout_s=0.5)
    except Exception as error:
        _print_line(f'The caller got no answer: {type(error).__name__}.')
    deployment.entries[0].kill()
    killed_at = time.monotonic()
    answer = submit(second, job)
    took_s = time.monotonic() - killed_at
    _print_line(json.dumps(answer))
    _print_line(f'Settled {took_s:.2f} s after the kill.')
    return Exchange(job, answer)


def _report_checks(
    deployment: Deployment,
    jobs: list[dict[str, Any]],
    checks: dict[str, bool],
    started: float,
) -> int:
    starts = collections.Counter(deployment.journal_starts())
    expected = {start for job in jobs for start in _task_keys(job)}
    counted = sum(starts[start] for start in expected)
    duplicated = starts.total() > len(starts)
    _print_line(f'Runner journals: {counted} starts of {len(expected)} tasks.')
    checks['every task started once'] = counted == len(expected)
    checks['no task started twice'] = not duplicated
    for name, passed in checks.items():
        state = 'ok' if passed else 'FAILED'
        _print_line(f'{state}: {name}')
    elapsed_s = time.monotonic() - started
    _print_line(f'Done in {elapsed_s:.1f} s.')
    return 0 if all(checks.values()) else 1


def _dispatch_job(deployment: Deployment, index: int) -> dict[str, Any]:
    kinds = ('load-confirmation', 'route-reassignment', 'stock-check')
    body = job_body(
        deployment.service,
        list(itertools.repeat(_RUN_MS, 1 + 3 * index)),
        _DEADLINE_MS,
        kind=kinds[index % len(kinds)],
    )
    return body


def _task_keys(job: dict[str, Any]) -> list[tuple[str, int]]:
    job_id = job['id']
    count = len(job['tasks'])
    return [(job_id, index) for index in range(count)]


def _is_complete(answer: dict[str, Any]) -> bool:
    return answer.get('state') == 'complete'


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
