"""Messages that arrive late, and clocks of which one is slow."""

from __future__ import annotations

import contextlib

import trio

from borageward.clock import SystemClock
from borageward.messages.runs import SessionHeartbeat
from borageward.runs.endpoint import Endpoint
from borageward.transport import LinkClosed
from standins.endpoint import EndpointStandIn
from tests.runs.guardharness import Entry, Guard, ref, running_guard

# The endpoint's clock may be this much slower than real time.
SLOWEST_RATE = 0.98
LEASE_MS = 900
# Age in milliseconds of the newest stamp at which a session expires.
SESSION_MS = 900
# Runs of which some start while older lists are under way.
STARTS = 12


def ready_endpoint():
    """Return a guard's view of an endpoint whose clock read zero just now."""
    stand_in = EndpointStandIn(SystemClock())
    endpoint = Endpoint(stand_in.status(), stand_in, SystemClock())
    endpoint.record_clock(1)
    return endpoint


class LateEndpoint(EndpointStandIn):
    """Endpoint whose lists arrive ``late_ms`` after they were composed."""

    late_ms = 0

    async def hold(self, request, timeout_ms):
        """Return the lists late, without a time-out."""
        lists = await super().hold(request, timeout_ms)
        await self.clock.sleep_ms(self.late_ms)
        return lists


async def open_guard(endpoint, nursery):
    """Return an entry of a guard at an endpoint."""
    guard = Guard(endpoint, nursery)
    nursery.start_soon(guard.run)
    await trio.sleep(0.01)
    guard.monitor.report(endpoint.status())
    entry: Entry = await guard.connect()
    nursery.start_soon(entry.run)
    await entry.open()
    while not entry.state.accepting:
        await trio.sleep(0.005)
    return entry


async def test_lease_is_not_longer_on_a_slow_clock(autojump_clock):
    """Guards against a run that works on after its lease should have ended.

    Entries and callers count real time; the endpoint counts its own.
    """
    await trio.sleep(10)
    endpoint = ready_endpoint()
    await trio.sleep(30)
    real_ms = 30_000
    clock_ms = 1 + real_ms * SLOWEST_RATE
    remaining_ms = (
        endpoint.grant_lease(LEASE_MS, endpoint.estimated_clock_ms()) - clock_ms
    )
    assert remaining_ms / SLOWEST_RATE <= LEASE_MS


async def test_leases_do_not_expire_early_on_a_slow_clock(autojump_clock):
    """Guards against a run that is called ended while its lease lasts."""
    endpoint = ready_endpoint()
    lease_end_ms = endpoint.grant_lease(LEASE_MS, endpoint.estimated_clock_ms())
    real_ms = 0
    with trio.fail_after(10):
        while not endpoint.leases_expired():
            await trio.sleep(0.01)
            real_ms += 10
    assert 1 + real_ms * SLOWEST_RATE > lease_end_ms


async def test_heartbeat_that_was_held_up_extends_nothing(autojump_clock):
    """Guards against a session that outlives its entry.

    A partition delivers heartbeats after the entry has ended; the stamps that
    they return are old.
    """
    async with running_guard(work_ms=9000) as (_, endpoint, entry, _nursery):
        await entry.start(0)
        await trio.sleep(0.5)
        stamp_ms = entry.state.stamp_ms
        entry.silent = True
        with contextlib.suppress(LinkClosed):
            for _ in range(30):
                await trio.sleep(0.1)
                await entry.connection.send(SessionHeartbeat(stamp_ms, 0))
        assert trio.current_time() * 1000 - stamp_ms < SESSION_MS + 200
        await trio.sleep(0.1)
        assert not endpoint.running


async def test_heartbeat_that_was_overtaken_shortens_nothing(autojump_clock):
    """Guards against runs that are stopped because of an older heartbeat."""
    async with running_guard(work_ms=900) as (_, _endpoint, entry, _nursery):
        await entry.start(0)
        for _ in range(6):
            await trio.sleep(0.2)
            stamp_ms = entry.state.stamp_ms - 800
            await entry.connection.send(SessionHeartbeat(stamp_ms, 0))
        assert entry.outcomes() == {(0, 1): 'done'}


async def test_lists_composed_before_a_start_end_no_run(autojump_clock):
    """Guards against a task that starts elsewhere because of old lists.

    The reply with the lists is overtaken by the reply to a later start.
    """
    endpoint = LateEndpoint(SystemClock(), work_ms=150)
    async with trio.open_nursery() as nursery:
        entry = await open_guard(endpoint, nursery)
        endpoint.late_ms = 100
        for index in range(STARTS):
            await entry.start(index)
            await trio.sleep(0.06)
        await trio.sleep(1)
        assert set(entry.outcomes().values()) == {'done'}
        assert len(endpoint.starts) == STARTS
        nursery.cancel_scope.cancel()


async def test_stop_and_end_that_cross_leave_one_end(autojump_clock):
    """Guards against an end that is reported twice with different outcomes.

    The run ends while the stop of its entry is under way.
    """
    async with running_guard(work_ms=100) as (_, endpoint, entry, _nursery):
        await entry.start(0)
        await trio.sleep(0.1)
        await entry.stop(ref(0))
        await trio.sleep(1)
        assert [end.ref for end in entry.ends] == [ref(0)]
        assert not endpoint.running
