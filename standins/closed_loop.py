"""Closed-loop load: each connection submits its next job after an answer.

Standard-library connections in several processes, because one httpx client
with many waiting requests costs more processor time than the entry under load.
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
_PROCESSES = 4
_CONNECTIONS = 8
_HEADERS = (('Content-Type', 'application/json'),)

Job = dict[str, Any]


@attrs.frozen(slots=True)
class ClosedLoopResult:
    """Response times of complete jobs and the time that all took."""

    response_ms: list[float]
    took_s: float


def run_closed_loop(address: str, jobs: Sequence[Job]) -> ClosedLoopResult:
    """Submit all jobs over 32 connections from 4 processes."""
    shares = [
        (address, jobs[number::_PROCESSES]) for number in range(_PROCESSES)
    ]
    with multiprocessing.Pool(_PROCESSES) as pool:
        started = time.monotonic()
        answered = pool.starmap(_submit_share, shares)
        took_s = time.monotonic() - started
    times = [response_ms for share in answered for response_ms in share]
    return ClosedLoopResult(times, took_s)


def _submit_share(address: str, jobs: Sequence[Job]) -> list[float]:
    shares = [jobs[number::_CONNECTIONS] for number in range(_CONNECTIONS)]
    with ThreadPoolExecutor(_CONNECTIONS) as pool:
        submit_each = functools.partial(_submit_each, address)
        answered = list(pool.map(submit_each, shares))
    return [response_ms for share in answered for response_ms in share]


def _submit_each(address: str, jobs: Sequence[Job]) -> list[float]:
    connection = HTTPConnection(address, timeout=_TIMEOUT_S)
    times = [_submit(connection, job) for job in jobs]
    connection.close()
    return [response_ms for response_ms in times if response_ms >= 0]


def _submit(connection: HTTPConnection, job: Job) -> float:
    """Return the response time in milliseconds, or -1 without an answer."""
    body = json.dumps(job)
    started = time.monotonic()
    connection.request('POST', '/v1/jobs', body, dict(_HEADERS))
    answer = json.loads(connection.getresponse().read())
    took_ms = (time.monotonic() - started) * _MS_PER_SECOND
    return took_ms if answer['state'] == 'complete' else -1
