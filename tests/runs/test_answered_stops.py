"""Stops that an endpoint answers, and when their runs end."""

from __future__ import annotations

import contextlib

import pytest
import trio

from borageward.clock import SystemClock
from borageward.runs.port import StartRequest
from standins.endpoint import EndpointStandIn
from tests.runs.guardharness import Guard, ref

# Callers send a job to another entry this long after its connection broke.
REPEAT_S = 1.3
# A stop takes at most this long.
STOP_GRACE_S = 0.05
LEASE_MS = 700


class SlowStops(EndpointStandIn):
    """Endpoint that confirms stops at once and carries them out later.

    ``stop_s`` is the time until a stopped run ends, ``lapses`` the number of
    runs that ended with the lease.
    """

    def __init__(self, nursery, work_ms):
        """Start without runs."""
        super().__init__(SystemClock(), work_ms)
        self.stop_s = STOP_GRACE_S
        self.lapses = 0
        self._nursery = nursery

    def start_unknown(self, ref):
        """Carry out a start that the guard takes for settled."""
        lease_end_ms = self._now_ms() + LEASE_MS
        self._start(StartRequest(ref, '', lease_end_ms, self._fence))

    def _stop(self, ref):
        if ref.task in self.running:
            self._nursery.start_soon(self._stop_later, ref)
            return
        super()._stop(ref)

    async def _stop_later(self, ref):
        await trio.sleep(self.stop_s)
        super()._stop(ref)  # noqa: WPS613 Stops what was only confirmed.

    def _finish(self, active, outcome, detail):
        super()._finish(active, outcome, detail)
        self.lapses += detail == 'lease expired'


@contextlib.asynccontextmanager
async def two_entries(work_ms=9000):
    """Run a guard with an open session of each of two entries."""
    async with trio.open_nursery() as nursery:
        endpoint = SlowStops(nursery, work_ms)
        guard = Guard(endpoint, nursery)
        nursery.start_soon(guard.run)
        await trio.sleep(0.01)
        guard.monitor.report(endpoint.status())
        entries = []
        for name in ('entry-1', 'entry-2'):
            entry = await guard.connect(name)
            nursery.start_soon(entry.run)
            await entry.open()
            entries.append(entry)
        yield endpoint, entries
        nursery.cancel_scope.cancel()


async def test_answered_stop_that_ends_nothing_bounds_the_lease(
    autojump_clock,
):
    """Guards against a run that outlasts the repetition of its job.

    The entry is dark. The endpoint answers the stops of its run and works on,
    while the lease is renewed for the run of another entry.
    """
    async with two_entries() as (endpoint, (entry, other)):
        await entry.start(0)
        await other.start(1)
        await trio.sleep(0.5)
        endpoint.stop_s = 8
        entry.frozen = True
        await trio.sleep(REPEAT_S)
        assert ref(0).task not in endpoint.running or endpoint.lease_expired


async def test_orphan_whose_answered_stop_ends_nothing_bounds_the_lease(
    autojump_clock,
):
    """Guards against an unknown run that outlasts a lease.

    Another entry may have started the task. The endpoint answers the stops and
    works on, while the lease is renewed for a run of the guard.
    """
    async with two_entries() as (endpoint, (entry, _)):
        await entry.start(1)
        await trio.sleep(0.1)
        endpoint.stop_s = 8
        endpoint.start_unknown(ref(0))
        await trio.sleep(1.2)
        assert ref(0).task not in endpoint.running or endpoint.lease_expired


@pytest.mark.parametrize('unanswered', [0, 1, 2])
@pytest.mark.parametrize('silent_ms', [0, 100, 200])
async def test_usual_stops_cost_no_lapse_of_other_runs(
    silent_ms, unanswered, autojump_clock
):
    """Guards against healthy runs that lapse because others are stopped.

    The session of one entry expires at some time after a renewal, and the first
    stops may remain unanswered. The runs of the other entry go on.
    """
    async with two_entries() as (endpoint, (entry, other)):
        await entry.start(0)
        await other.start(1)
        await trio.sleep(0.5 + silent_ms / 1000)
        entry.frozen = True
        endpoint.unanswered_stops = unanswered
        await trio.sleep(3)
        assert not endpoint.lapses
        assert list(endpoint.running) == [ref(1).task]


async def test_usual_stops_delay_no_start(autojump_clock):
    """Guards against starts that wait long because another run is stopped.

    The stop takes its usual time, during which the lease is limited.
    """
    async with two_entries() as (endpoint, (entry, other)):
        await entry.start(0)
        await other.start(1)
        await trio.sleep(0.5)
        entry.frozen = True
        while ref(0).task in endpoint.running:
            await other.start(2)
            await trio.sleep(STOP_GRACE_S)
        await trio.sleep(0.02)
        assert ref(2) in endpoint.starts
        assert not endpoint.lapses
