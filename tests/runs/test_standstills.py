"""Guards that stand still between two readings of the clock."""

from __future__ import annotations

import pytest
import trio

from borageward.clock import SystemClock
from borageward.policy.run_authority import AuthorityLimits
from standins.endpoint import EndpointStandIn
from tests.runs.test_time_lines import open_guard

STANDSTILL_MS = 1500
# The endpoint's clock is ahead of the guard's by this much.
UPTIME_MS = 480_000


class HaltingClock(SystemClock):
    """Clock of a process that stands still before one of its readings."""

    def __init__(self):
        """Never stand still."""
        self.readings_left = -1
        self._halted_ms = 0

    def now_ms(self):
        """Return the time in milliseconds, the standstill included."""
        if self.readings_left == 0:
            self._halted_ms += STANDSTILL_MS
        self.readings_left -= 1
        return super().now_ms() + self._halted_ms


class RecordingEndpoint(EndpointStandIn):
    """Endpoint that records the ends of the leases that it is asked for."""

    def __init__(self, clock):
        """Start without leases."""
        super().__init__(clock, work_ms=9000)
        self.lease_ends_ms = []

    async def start(self, request, timeout_ms):
        """Record the lease, which ends on the guard's clock, and start."""
        self.lease_ends_ms.append(request.lease_end_ms - UPTIME_MS)
        return await super().start(request, timeout_ms)

    async def hold(self, request, timeout_ms):
        """Record the lease, which ends on the guard's clock, if any."""
        if request.lease_end_ms is not None:
            self.lease_ends_ms.append(request.lease_end_ms - UPTIME_MS)
        return await super().hold(request, timeout_ms)


@pytest.mark.parametrize('reading', range(60))
async def test_standstill_between_two_readings_extends_no_lease(
    autojump_clock, reading
):
    """Guards against a lease that is limited before a standstill.

    The limit was computed with the time before it and added to the time after
    it, so that a run went on after its entry had started the task elsewhere.
    """
    clock = HaltingClock()
    endpoint = RecordingEndpoint(clock)
    async with trio.open_nursery() as nursery:
        entry = await open_guard(endpoint, nursery)
        await entry.start(0, 1)
        await trio.sleep(0.5)
        entry.silent = True
        silent_ms = clock.now_ms()
        await entry.start(2, 3)
        clock.readings_left = reading
        await trio.sleep(2)
        nursery.cancel_scope.cancel()
    limit_ms = silent_ms + AuthorityLimits().run_limit_ms
    assert max(endpoint.lease_ends_ms) <= limit_ms
