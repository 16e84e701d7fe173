"""Recovery times after a process is killed, measured on real processes.

Two times are measured: from the kill of the control leader to the next
accepted claim, and from the kill of an entry to the settled outcome of its job
that the caller gets through another entry.
"""

from __future__ import annotations

import collections
import itertools
import pathlib
import tempfile
import threading
import time

import httpx

from bench.report import median, print_table
from borageward.messages.control import ControlStatus, ReadControl
from standins.caller import job_body, submit
from standins.deployment import Deployment
from standins.operator import ask_control
from standins.processes import wait_until

_ROUNDS = 5
_RUN_MS = 400.0
_DEADLINE_MS = 20_000
_WAIT_S = 30.0


def main() -> None:
    """Measure both recovery times and print them with repeated starts."""
    leader_times_s: list[float] = []
    entry_times_s: list[float] = []
    with tempfile.TemporaryDirectory(prefix='borageward-') as folder:
        deployment = Deployment(pathlib.Path(folder), controls=3, entries=2)
        try:
            deployment.start()
            for _ in range(_ROUNDS):
                leader_times_s.append(_leader_recovery_s(deployment))
                entry_times_s.append(_entry_recovery_s(deployment))
        finally:
            deployment.stop()
        starts = collections.Counter(deployment.journal_starts())
    print_table(
        ('what', 'rounds', 'median s', 'worst s', 'target s'),
        (
            (
                'leader kill to next claim',
                _ROUNDS,
                *_summary(leader_times_s),
                2,
            ),
            (
                'entry kill to settled outcome',
                _ROUNDS,
                *_summary(entry_times_s),
                3,
            ),
        ),
    )
    repeated = starts.total() - len(starts)
    print_table(('starts', 'started twice'), ((starts.total(), repeated),))


def _summary(figures: list[float]) -> tuple[float, float]:
    return median(figures), max(figures)


def _leader_recovery_s(deployment: Deployment) -> float:
    index = _leader_index(deployment)
    deployment.controls[index].kill()
    took_s = wait_until(
        lambda: _completes_job(deployment),
        _WAIT_S,
        'claim after the kill of the leader',
    )
    deployment.controls[index].start()
    time.sleep(2)
    return took_s


def _completes_job(deployment: Deployment) -> bool:
    body = job_body(deployment.service, [1.0], _DEADLINE_MS)
    answer = submit(deployment.entry_addresses[0], body)
    return answer['state'] == 'complete'


def _leader_index(deployment: Deployment) -> int:
    for index, address in enumerate(deployment.control_grpc_addresses):
        status = ask_control([address], ReadControl())
        if isinstance(status, ControlStatus):
            if status.leader == status.voter_id:
                return index
    raise RuntimeError('no control process reports itself as leader')


def _entry_recovery_s(deployment: Deployment) -> float:
    body = job_body(
        deployment.service,
        list(itertools.repeat(_RUN_MS, 6)),
        _DEADLINE_MS,
    )
    first, second = deployment.entry_addresses
    caller = threading.Thread(
        target=_submit_ignoring_errors, args=(first, body)
    )
    caller.start()
    wait_until(
        lambda: _started(deployment, body['id']),
        _WAIT_S,
        'start of a task',
    )
    deployment.entries[0].kill()
    started = time.monotonic()
    answer = submit(second, body)
    took_s = time.monotonic() - started
    caller.join()
    if answer['state'] != 'complete':
        raise RuntimeError(f'job not completed by the other entry: {answer}')
    deployment.entries[0].start()
    deployment.wait_ready_at(first)
    return took_s


def _started(deployment: Deployment, job_id: str) -> bool:
    return any(job == job_id for job, _task in deployment.journal_starts())


def _submit_ignoring_errors(address: str, body: dict[str, object]) -> None:
    try:
        submit(address, body)
    except httpx.HTTPError:
        return


if __name__ == '__main__':
    main()
