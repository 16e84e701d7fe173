"""Closed-loop load generator.

Each connection submits its next job once the previous one is answered. The
generator uses ``http.client`` in several processes: a single httpx client with
many pending requests takes more processor time than the entry under load.
"""

from __future__ import annotations

import functools
import json
import multiprocessing
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection
from typing import Any

import attrs

_TIMEOUT_S = 60.0
_MS_PER_SECOND = 1000.0
_PROCESS_COUNT = 4
_CONNECTIONS_PER_PROCESS = 8
_HEADERS = (('Content-Type', 'application/json'),)

Job = dict[str, Any]


@attrs.frozen(slots=True)
class ClosedLoopResult:
    """Response times of the complete jobs and the duration of the whole run.

    Jobs whose answer is not complete are left out of ``response_ms``.
    """

    response_ms: list[float]
    took_s: float


def run_closed_loop(address: str, jobs: Sequence[Job]) -> ClosedLoopResult:
    """Submit all jobs over 32 connections from 4 processes.

    ``address`` is the ``host:port`` of an entry. Connection errors and
    time-outs are raised.
    """
    shares = [
        (address, jobs[offset::_PROCESS_COUNT])
        for offset in range(_PROCESS_COUNT)
    ]
    with multiprocessing.Pool(_PROCESS_COUNT) as pool:
        started = time.monotonic()
        answered = pool.starmap(_submit_share, shares)
        took_s = time.monotonic() - started
    times = [response_ms for share in answered for response_ms in share]
    return ClosedLoopResult(times, took_s)


def _submit_share(address: str, jobs: Sequence[Job]) -> list[float]:
    shares = [
        jobs[offset::_CONNECTIONS_PER_PROCESS]
        for offset in range(_CONNECTIONS_PER_PROCESS)
    ]
    with ThreadPoolExecutor(_CONNECTIONS_PER_PROCESS) as pool:
        submit_in_turn = functools.partial(_submit_in_turn, address)
        answered = list(pool.map(submit_in_turn, shares))
    return [response_ms for share in answered for response_ms in share]


def _submit_in_turn(address: str, jobs: Sequence[Job]) -> list[float]:
    connection = HTTPConnection(address, timeout=_TIMEOUT_S)
    times = [_submit(connection, job) for job in jobs]
    connection.close()
    return [response_ms for response_ms in times if response_ms >= 0]


def _submit(connection: HTTPConnection, job: Job) -> float:
    """Return the response time in ms, or -1 if the job is not complete."""
    body = json.dumps(job)
    started = time.monotonic()
    connection.request('POST', '/v1/jobs', body, dict(_HEADERS))
    answer = json.loads(connection.getresponse().read())
    took_ms = (time.monotonic() - started) * _MS_PER_SECOND
    return took_ms if answer['state'] == 'complete' else -1
