"""Open connections that go silent for good while new ones work."""

from __future__ import annotations

import pytest
import trio

from borageward.dispatch import JobRequest, StepSpec
from borageward.messages.runs import Demand
from tests.model.entries import QUEUE
from tests.model.world import run_script

_WORK_MS = 2500
_DEADLINE_MS = 9000
_JOBS = 12


def _request(number):
    step = StepSpec(2, Demand(500, 500), _WORK_MS)
    return JobRequest(
        f'job{number}', str(_WORK_MS), (step,), QUEUE, _DEADLINE_MS
    )


async def _submit_jobs(world, pause_s):
    for number in range(_JOBS):
        entry = world.entries[number % len(world.entries)]
        entry.submit(_request(number))
        await trio.sleep(pause_s)


async def _silence_endpoints(world, duration_s):
    """Leave the calls unanswered that go out on connections of a pool."""
    for guard in world.guards:
        guard.endpoint.late = frozenset(('start', 'stop', 'hold'))
        guard.endpoint.late_share = 1.0
    await trio.sleep(duration_s)
    for answering in world.guards:
        answering.endpoint.late = frozenset()


@pytest.mark.parametrize('endpoints_s', [0, 0.3, 0.6, 1.0, 1.6])
@pytest.mark.parametrize('pause_s', [0.03, 0.11, 0.2])
@pytest.mark.parametrize('times', [1, 3])
def test_silent_channels_lead_to_no_second_run(endpoints_s, pause_s, times):
    """Guards against a run that goes on while its entry opens a new link.

    All links go silent, and calls to the endpoints get no answer for as long
    as it takes until no silent connection is left in the guards' pools.
    """

    async def play(world):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_submit_jobs, world, pause_s)
            for _ in range(times):
                await trio.sleep(0.9)
                world.network.silence()
                await _silence_endpoints(world, endpoints_s)
            await trio.sleep(4)
            nursery.cancel_scope.cancel()

    result = run_script(play, guards=6)
    assert result.starts > _JOBS
    assert not result.breaches, str(result.breaches[0])
