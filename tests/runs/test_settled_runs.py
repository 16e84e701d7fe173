"""Settling of an unanswered start whose stops stay unanswered as well."""

from __future__ import annotations

import trio

from borageward.clock import SystemClock
from standins.endpoint import EndpointStandIn
from tests.runs.guardharness import ref, running_guard
from tests.runs.test_time_lines import open_guard

# A stop every 20 ms for the 700 ms of a start's lease, and some more.
MOST_STOPS = 60


async def test_start_carried_out_during_its_settlement_is_stopped(
    autojump_clock,
):
    """Guards against a run that no stop reaches.

    The start is carried out shortly before its lease ends, after the lists
    that lacked it, while the stops that settle it get no answer.
    """
    async with running_guard(work_ms=9000) as (_, endpoint, entry, _nursery):
        await entry.start(5)
        await trio.sleep(0.3)
        endpoint.unanswered_starts = 1
        endpoint.apply_unanswered_starts = False
        endpoint.unanswered_stops = 6
        await entry.start(0)
        await trio.sleep(0.67)
        endpoint.apply_late_starts()
        assert ref(0).task in endpoint.running
        await trio.sleep(0.5)
        await entry.stop(ref(0))
        await trio.sleep(2)
        assert ref(0).task not in endpoint.running


class CountedStops(EndpointStandIn):
    """Endpoint that counts the stops it has refused by a closed port."""

    def __init__(self, clock, work_ms):
        """Start without refused stops."""
        super().__init__(clock, work_ms)
        self.refused_stops = 0

    async def stop(self, ref, fence, timeout_ms):
        """Carry the stop out, or refuse the connection at once."""
        self.refused_stops += self.down
        assert self.refused_stops < MOST_STOPS
        await trio.lowlevel.checkpoint()
        return await super().stop(ref, fence, timeout_ms)


async def test_start_at_a_crashed_endpoint_is_settled_without_haste(
    autojump_clock,
):
    """Guards against a guard that is busy with stops nobody can receive.

    The endpoint crashes while an unanswered start is being settled, and refuses
    all connections until the lease of the start has ended.
    """
    endpoint = CountedStops(SystemClock(), work_ms=9000)
    async with trio.open_nursery() as nursery:
        entry = await open_guard(endpoint, nursery)
        endpoint.unanswered_starts = 1
        endpoint.apply_unanswered_starts = False
        endpoint.unanswered_stops = 1
        await entry.start(0)
        await trio.sleep(0.2)
        endpoint.down = True
        await trio.sleep(2)
        assert entry.outcomes() == {(0, 1): 'lost'}
        nursery.cancel_scope.cancel()
