"""First look: a whole deployment, real jobs, a resubmission, a kill."""

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
    """Run the tour and return 0 when every check held."""
    started = time.monotonic()
    with tempfile.TemporaryDirectory(prefix='borageward-') as folder:
        deployment = Deployment(pathlib.Path(folder), controls=3)
        try:
            return _tour(deployment, started)
        finally:
            deployment.stop()


def _tour(deployment: Deployment, started: float) -> int:
    _say('Start 3 control replicas, 3 guards with runners and 2 entries.')
    deployment.start()
    first, second = deployment.entry_addresses
    jobs = [_dispatch_job(deployment, index) for index in range(4)]
    _say('Submit four salt-dispatch jobs through the first entry.')
    answers = [submit(first, job) for job in jobs]
    for answer in answers:
        _say(json.dumps(answer))
    _say('Submit the first job again through the second entry.')
    again = submit(second, jobs[0])
    _say(json.dumps(again))
    interrupted = _kill_entry(deployment)
    return _verdict(
        deployment,
        [*jobs, interrupted.body],
        {
            'four complete answers': all(map(_complete, answers)),
            'the same answer through the second entry': again == answers[0],
            'the interrupted job complete': _complete(interrupted.answer),
        },
        started,
    )


def _kill_entry(deployment: Deployment) -> Exchange:
    """Kill the first entry while a job runs and ask the second for it."""
    _say('Kill the first entry during a job; resubmit through the second.')
    run_times = list(itertools.repeat(_KILLED_JOB_RUN_MS, 6))
    job = job_body(deployment.service, run_times, _DEADLINE_MS)
    first, second = deployment.entry_addresses
    try:
        submit(first, job, timeout_s=0.5)
    except Exception as error:
        _say(f'The caller gave up: {type(error).__name__}.')
    deployment.entries[0].kill()
    killed = time.monotonic()
    answer = submit(second, job)
    took = time.monotonic() - killed
    _say(json.dumps(answer))
    _say(f'Settled {took:.2f} s after the kill.')
    return Exchange(job, answer)


def _verdict(
    deployment: Deployment,
    jobs: list[dict[str, Any]],
    checks: dict[str, bool],
    started: float,
) -> int:
    starts = collections.Counter(deployment.journal_starts())
    expected = {start for job in jobs for start in _tasks_of(job)}
    counted = sum(starts[start] for start in expected)
    doubled = starts.total() > len(starts)
    _say(f'Journals: {counted} starts of {len(expected)} tasks.')
    checks['every task started once'] = counted == len(expected)
    checks['no task started twice'] = not doubled
    for name, held in checks.items():
        state = 'ok' if held else 'FAILED'
        _say(f'{state}: {name}')
    elapsed = time.monotonic() - started
    _say(f'Done in {elapsed:.1f} s.')
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


def _tasks_of(job: dict[str, Any]) -> list[tuple[str, int]]:
    job_id = job['id']
    count = len(job['tasks'])
    return [(job_id, index) for index in range(count)]


def _complete(answer: dict[str, Any]) -> bool:
    return answer.get('state') == 'complete'


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
