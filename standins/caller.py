"""Client functions for the HTTP interface of an entry."""

from __future__ import annotations

import time
import uuid
from typing import Any

import httpx

from borageward.identity import new_job_id

_MS_PER_SECOND = 1000


def new_id() -> str:
    """Return a new job id as the text of a UUID."""
    wall_ms = int(time.time() * _MS_PER_SECOND)
    return str(uuid.UUID(bytes=new_job_id(wall_ms)))


def job_body(
    service: str,
    run_times_ms: list[float],
    deadline_ms: int,
    kind: str = 'load-confirmation',
    urgent: bool = False,
    idempotent: bool = True,
) -> dict[str, Any]:
    """Return the request body of a job with one task for each run time.

    The payloads are meant for the runner stand-in, which sleeps for the run
    time and returns the job id and task index as the result.
    """
    job_id = new_id()
    return {
        'id': job_id,
        'service': service,
        'deadline_ms': deadline_ms,
        'priority': 'urgent' if urgent else 'normal',
        'tasks': [
            {
                'kind': kind,
                'payload': {'run_ms': run_ms, 'echo': f'{job_id}/{index}'},
                'idempotent': idempotent,
            }
            for index, run_ms in enumerate(run_times_ms)
        ],
    }


def submit(
    address: str,
    body: dict[str, Any],
    timeout_s: float = 30,
) -> dict[str, Any]:
    """Submit a job to the entry at an address and return the decoded answer.

    Raises ``httpx.HTTPError`` if the entry cannot be reached or does not
    answer in time. Error statuses don't raise: their body is returned as well.
    """
    answer = httpx.post(
        f'http://{address}/v1/jobs',
        json=body,
        timeout=timeout_s,
    )
    return answer.json()
