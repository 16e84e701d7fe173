"""What a guard that has started again tells the entries of earlier runs."""

from __future__ import annotations

import itertools

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from tests.runs.guardharness import Guard, ref, running_guard

# Times from the start of a run to the end of its guard, and until the next one.
KILL_MS = (5, 150, 300, 450, 640, 900)
RESTART_MS = (0, 100, 350, 700, 1100)
# Time for which the endpoint answers nothing after that.
MUTE_MS = (0, 300, 900, 1600)


async def start_again(endpoint, nursery):
    """Return a new guard at an endpoint that reports itself."""
    guard = Guard(endpoint, nursery)
    nursery.start_soon(guard.run)
    await wait_all_tasks_blocked()
    guard.monitor.report(endpoint.status())
    return guard


async def mute(endpoint, duration_ms):
    """Let an endpoint answer nothing for some time."""
    endpoint.silent = True
    await trio.sleep(duration_ms / 1000)
    endpoint.silent = False


async def open_session(guard, nursery):
    """Return an entry with a session at a guard."""
    entry = await guard.connect()
    nursery.start_soon(entry.run)
    with trio.fail_after(5):
        await entry.open()
    return entry


def is_at_work(endpoint, run_ref):
    """Return whether a run is at work, so that it must not start elsewhere."""
    return run_ref.task in endpoint.running and not endpoint.lease_expired


@pytest.mark.parametrize('unanswered_stops', [0, 1000])
@pytest.mark.parametrize(
    ('killed_ms', 'down_ms', 'mute_ms'),
    itertools.product(KILL_MS, RESTART_MS, MUTE_MS),
)
async def test_run_of_a_former_guard_has_ended_when_a_session_opens(
    killed_ms, down_ms, mute_ms, unanswered_stops, autojump_clock
):
    """Guards against a task that starts elsewhere while its run works on.

    An entry takes a run that the new guard does not list for ended.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, nursery):
        await entry.start(0)
        while ref(0) not in endpoint.starts:
            await trio.sleep(0.001)
        await trio.sleep(killed_ms / 1000)
        guard.scope.cancel()
        endpoint.unanswered_stops = unanswered_stops
        nursery.start_soon(mute, endpoint, mute_ms)
        await trio.sleep(down_ms / 1000)
        again = await start_again(endpoint, nursery)
        resumed = await open_session(again, nursery)
        assert not resumed.opened[0].refs
        assert not is_at_work(endpoint, ref(0))


@pytest.mark.parametrize('late_ms', [0, 100, 300, 600, 690])
@pytest.mark.parametrize('mute_ms', MUTE_MS)
async def test_late_start_of_a_former_guard_runs_beside_no_other(
    late_ms, mute_ms, autojump_clock
):
    """Guards against a start that is carried out after a session has opened.

    The former guard got no answer to it. The endpoint refuses it under the
    fence of the new guard, or after its lease.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, nursery):
        endpoint.unanswered_starts = 1
        endpoint.apply_unanswered_starts = False
        await entry.start(0)
        await trio.sleep(0.02)
        guard.scope.cancel()
        nursery.start_soon(mute, endpoint, mute_ms)
        again = await start_again(endpoint, nursery)
        opened = []

        async def open_later():
            opened.append(await open_session(again, nursery))

        nursery.start_soon(open_later)
        await trio.sleep(late_ms / 1000)
        endpoint.apply_late_starts()
        while not opened:
            await trio.sleep(0.001)
            assert not opened or not is_at_work(endpoint, ref(0))
        assert not is_at_work(endpoint, ref(0))


@pytest.mark.parametrize('late_ms', [0, 2, 4, 8, 20, 60])
async def test_late_start_in_a_restarted_endpoint_has_ended_or_is_refused(
    late_ms, autojump_clock
):
    """Guards against a start that outlives its guard and its endpoint.

    Both start again, the endpoint under its id and with another clock, so that
    the start is not too late for it. It is refused or stopped by the next guard
    before that opens a session.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, nursery):
        endpoint.unanswered_starts = 1
        endpoint.apply_unanswered_starts = False
        await entry.start(0)
        await trio.sleep(0.02)
        guard.scope.cancel()
        restart_endpoint(endpoint)
        again = await start_again(endpoint, nursery)
        nursery.start_soon(apply_late, endpoint, late_ms)
        await open_session(again, nursery)
        assert not is_at_work(endpoint, ref(0))
        await trio.sleep(0.3)
        assert not is_at_work(endpoint, ref(0))


async def test_late_start_in_a_silent_restarted_endpoint_precedes_a_session(
    autojump_clock,
):
    """Guards against a session that opens before a late start can be barred.

    The endpoint answers nothing for 1.6 s, and carries the start out after
    1.1 s. No call of the guard has told it a fence by then.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, nursery):
        endpoint.unanswered_starts = 1
        endpoint.apply_unanswered_starts = False
        await entry.start(0)
        await trio.sleep(0.02)
        guard.scope.cancel()
        restart_endpoint(endpoint)
        nursery.start_soon(mute, endpoint, 1600)
        again = await start_again(endpoint, nursery)
        nursery.start_soon(apply_late, endpoint, 1100)
        await open_session(again, nursery)
        assert ref(0) in endpoint.starts
        assert not is_at_work(endpoint, ref(0))


def restart_endpoint(endpoint):
    """Let an endpoint start again, at the Unix time that its clocks show."""
    unix_ms = endpoint.born_ms + endpoint._now_ms()
    endpoint.start_again()
    endpoint._born_ms = unix_ms


async def apply_late(endpoint, late_ms):
    """Carry out the unanswered starts after some time."""
    await trio.sleep(late_ms / 1000)
    endpoint.apply_late_starts()
