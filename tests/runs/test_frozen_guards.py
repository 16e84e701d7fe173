"""Runs of entries that a guard could not hear while it was frozen."""

from __future__ import annotations

import trio

from borageward.clock import SystemClock
from tests.runs.guardharness import ref, running_guard

# Longer than an entry waits before it starts the runs elsewhere.
FREEZE_MS = 2400


class FrozenClock(SystemClock):
    """Clock of a guard whose timers do not count the time of a freeze."""

    frozen_ms = 0

    def now_ms(self):
        """Return the time in milliseconds, freezes included."""
        return super().now_ms() + self.frozen_ms


async def test_waiting_run_does_not_start_after_a_freeze(autojump_clock):
    """Guards against a task that runs twice after a freeze of its guard.

    Its entry has given the run up meanwhile. Room becomes free before the
    guard has handled the expiry of the session.
    """
    clock = FrozenClock()
    async with running_guard(work_ms=200, clock=clock) as parts:
        _guard, endpoint, entry, _ = parts
        await entry.start(0, 1, 2, 3, 4)
        await trio.sleep(0.19)
        entry.frozen = True
        clock.frozen_ms += FREEZE_MS
        await trio.sleep(0.5)
        assert ref(4) not in endpoint.starts
        assert entry.outcomes()[(4, 1)] == 'refused'


async def test_lease_is_not_renewed_after_a_freeze(autojump_clock):
    """Guards against a lease that outlives what its entry waits for.

    The session has expired during the freeze, but this is handled later. No
    stop is answered.
    """
    clock = FrozenClock()
    async with running_guard(work_ms=9000, clock=clock) as parts:
        _guard, endpoint, entry, _ = parts
        await entry.start(0)
        await trio.sleep(0.19)
        endpoint.unanswered_stops = 1000
        entry.frozen = True
        clock.frozen_ms += FREEZE_MS
        await trio.sleep(0.95)
        assert endpoint.lease_expired


async def test_session_that_lapsed_in_a_freeze_is_not_resumed(autojump_clock):
    """Guards against runs that go on under a session that has lapsed."""
    clock = FrozenClock()
    async with running_guard(work_ms=9000, clock=clock) as parts:
        guard, _endpoint, entry, nursery = parts
        await entry.start(0, 1, 2, 3, 4)
        await trio.sleep(0.19)
        entry.frozen = True
        clock.frozen_ms += FREEZE_MS
        again = await guard.connect()
        nursery.start_soon(again.run)
        await again.open(session=entry.opened[0].session, attempt=1)
        assert not again.opened[0].resumed
        assert ref(4) not in again.opened[0].refs
