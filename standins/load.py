"""Load generator: submits planned jobs and observes their answers."""

from __future__ import annotations

import time
from collections.abc import Sequence
from typing import Any

import attrs
import httpx
import trio

_MS_PER_SECOND = 1000.0
_TIMEOUT_S = 60.0
# About the connections that a service keeps today.
_MAX_CONNECTIONS = 60


@attrs.frozen(slots=True)
class PlannedJob:
    """A job to submit at a time after the start of the load."""

    at_ms: float
    address: str
    body: dict[str, Any]


@attrs.frozen(slots=True)
class ObservedJob:
    """A job with its answer and times in milliseconds."""

    body: dict[str, Any]
    answer: dict[str, Any]
    sent_ms: float
    response_ms: float

    @property
    def complete(self) -> bool:
        """Tell whether the whole answer arrived."""
        return self.answer.get('state') == 'complete'


def run_load(plan: Sequence[PlannedJob]) -> list[ObservedJob]:
    """Submit every job at its time and return all answers."""
    return trio.run(_run_load, plan)


async def _run_load(plan: Sequence[PlannedJob]) -> list[ObservedJob]:
    observed: list[ObservedJob] = []
    limits = httpx.Limits(max_connections=_MAX_CONNECTIONS)
    async with httpx.AsyncClient(timeout=_TIMEOUT_S, limits=limits) as client:
        started = time.monotonic()
        async with trio.open_nursery() as nursery:
            for job in sorted(plan, key=lambda planned: planned.at_ms):
                await _sleep_until(started + job.at_ms / _MS_PER_SECOND)
                nursery.start_soon(_submit, client, job, started, observed)
    return observed


async def _submit(
    client: httpx.AsyncClient,
    job: PlannedJob,
    started: float,
    observed: list[ObservedJob],
) -> None:
    sent = time.monotonic()
    answer = await _post(client, job)
    ended = time.monotonic()
    observed.append(
        ObservedJob(
            job.body,
            answer,
            (sent - started) * _MS_PER_SECOND,
            (ended - sent) * _MS_PER_SECOND,
        ),
    )


async def _post(
    client: httpx.AsyncClient,
    job: PlannedJob,
) -> dict[str, Any]:
    try:
        reply = await client.post(
            f'http://{job.address}/v1/jobs', json=job.body
        )
    except httpx.HTTPError as error:
        return {'state': 'no_answer', 'detail': type(error).__name__}
    return reply.json()


async def _sleep_until(moment: float) -> None:
    delay = moment - time.monotonic()
    if delay > 0:
        await trio.sleep(delay)
