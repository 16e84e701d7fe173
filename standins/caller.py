"""A caller of the dispatcher's HTTP interface."""

from __future__ import annotations

import time
import uuid
from typing import Any

import httpx

from borageward.identity import new_job_id

_MS_PER_SECOND = 1000


def new_id() -> str:
    """Return a fresh job id in text form."""
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
    """Return a job of one task for each run time."""
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
    """Submit a job and return the answer."""
    answer = httpx.post(
        f'http://{address}/v1/jobs',
        json=body,
        timeout=timeout_s,
    )
    return answer.json()
