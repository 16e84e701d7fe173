"""Runs of an entry that is gone when its caller repeats the job elsewhere."""

from __future__ import annotations

import pytest
import trio

from borageward.messages.runs import SessionHeartbeat, StopRuns
from tests.runs.guardharness import ref, running_guard

# Callers send a job to another entry this long after its connection broke.
REPEAT_S = 1.3
# An entry stands still for this long; its session outlives it.
STILL_S = 0.8


async def echo_next_state(entry):
    """Return the stamp of the next state as soon as it arrives."""
    stamp_ms = entry.state.stamp_ms
    while entry.state.stamp_ms == stamp_ms:
        await trio.sleep(0.005)
    heartbeat = SessionHeartbeat(entry.state.stamp_ms, 0)
    await entry.connection.send(heartbeat)


async def test_run_of_a_cut_off_entry_ends_before_its_job_is_repeated(
    autojump_clock,
):
    """Guards against a second run beside the first one.

    The entry loses its power or is cut off, which breaks no link. The endpoint
    answers no stop, so only the lease ends the run.
    """
    async with running_guard(work_ms=9000) as (_, endpoint, entry, _nursery):
        endpoint.unanswered_stops = 1000
        await entry.start(0)
        await trio.sleep(0.5)
        entry.frozen = True
        await trio.sleep(REPEAT_S)
        assert endpoint.starts == [ref(0)]
        assert endpoint.lease_expired


async def test_run_of_a_killed_entry_ends_in_time_at_a_guard_that_notices_late(
    autojump_clock,
):
    """Guards against a bound that begins when the broken link is noticed.

    The guard was suspended or slow when the entry was killed.
    """
    async with running_guard(work_ms=9000) as (_, endpoint, entry, _nursery):
        endpoint.unanswered_stops = 1000
        await entry.start(0)
        await trio.sleep(0.5)
        entry.frozen = True
        await trio.sleep(0.6)
        await entry.connection.close()
        await trio.sleep(REPEAT_S - 0.6)
        assert endpoint.lease_expired


async def test_delayed_order_of_a_cut_off_entry_is_bounded_by_its_echo(
    autojump_clock,
):
    """Guards against an order that gets the longer lease of another entry.

    A partition held the order up, and the entry has been gone since it sent it.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, nursery):
        endpoint.unanswered_stops = 1000
        await entry.start(0)
        gone = await guard.connect('entry-2')
        nursery.start_soon(gone.run)
        await gone.open()
        gone.frozen = True
        await trio.sleep(0.7)
        await gone.start(1)
        await trio.sleep(REPEAT_S - 0.7)
        assert ref(1).task not in endpoint.running or endpoint.lease_expired


async def test_delayed_order_of_a_live_entry_starts_with_its_next_echo(
    autojump_clock,
):
    """Guards against a run that waits although its entry is alive.

    The order has waited for 0.65 s, and the endpoint is at work for others.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, nursery):
        await entry.start(0)
        other = await guard.connect('entry-2')
        nursery.start_soon(other.run)
        await other.open()
        other.silent = True
        await trio.sleep(0.65)
        await other.start(1, stamp_ms=other.opened_stamp_ms)
        await trio.sleep(0.05)
        assert ref(1) not in endpoint.starts
        other.silent = False
        await trio.sleep(0.25)
        assert ref(1) in endpoint.starts


async def test_run_of_an_entry_that_stood_still_ends_before_its_repetition(
    autojump_clock,
):
    """Guards against a run that outlasts the pause of a caller that has left.

    The entry stands still when the caller's connection breaks. It then returns
    the newest stamp, which waited for it, and stops the run. The stop names the
    stamp that the entry had before, and remains unanswered.
    """
    async with running_guard(work_ms=9000) as (_, endpoint, entry, _nursery):
        await entry.start(0)
        await trio.sleep(0.5)
        endpoint.unanswered_stops = 1000
        await echo_next_state(entry)
        caller_ms = entry.state.stamp_ms
        entry.silent = True
        await trio.sleep(STILL_S)
        heartbeat = SessionHeartbeat(entry.state.stamp_ms, 0)
        await entry.connection.send_all(
            [heartbeat, StopRuns((ref(0),), caller_ms)]
        )
        await trio.sleep(REPEAT_S - STILL_S)
        assert endpoint.lease_expired


@pytest.mark.parametrize('later_ms', [20, 50])
@pytest.mark.parametrize('still_ms', range(600, 900, 20))
async def test_stop_that_follows_its_echo_ends_the_run_in_time(
    still_ms, later_ms, autojump_clock
):
    """Guards against a lease that a guard grants before it reads the stop.

    The entry stood still when the caller's connection broke. It returns the
    newest stamp first, and the stop of the run arrives some time later.
    """
    async with running_guard(work_ms=9000) as (_, endpoint, entry, _nursery):
        await entry.start(0)
        await trio.sleep(0.5)
        endpoint.unanswered_stops = 1000
        await echo_next_state(entry)
        caller_ms = entry.state.stamp_ms
        entry.silent = True
        await trio.sleep(still_ms / 1000)
        await entry.connection.send(SessionHeartbeat(entry.state.stamp_ms, 0))
        await trio.sleep(later_ms / 1000)
        await entry.connection.send(StopRuns((ref(0),), caller_ms))
        await trio.sleep(REPEAT_S - (still_ms + later_ms) / 1000)
        assert endpoint.lease_expired


@pytest.mark.parametrize('still_ms', [500, 700, 850])
async def test_runs_of_an_entry_that_stood_still_for_a_moment_go_on(
    still_ms, autojump_clock
):
    """Guards against healthy runs that lapse because of a short standstill.

    The first echo after it extends the lease only a moment later.
    """
    async with running_guard(work_ms=3000) as (_, endpoint, entry, _nursery):
        await entry.start(0)
        await trio.sleep(0.5)
        await echo_next_state(entry)
        entry.silent = True
        await trio.sleep(still_ms / 1000)
        await entry.connection.send(SessionHeartbeat(entry.state.stamp_ms, 0))
        entry.silent = False
        await trio.sleep(3)
        assert entry.outcomes() == {(0, 1): 'done'}


@pytest.mark.parametrize('held_up_ms', [100, 300, 430])
@pytest.mark.parametrize('still_ms', range(600, 900, 10))
async def test_late_heartbeat_hides_no_standstill(
    still_ms, held_up_ms, autojump_clock
):
    """Guards against a lease that a guard grants before it reads the stop.

    The last heartbeat before the standstill of the entry arrives late, so the
    time between two heartbeats is shorter than the standstill.
    """
    async with running_guard(work_ms=9000) as (_, endpoint, entry, _nursery):
        await entry.start(0)
        await trio.sleep(0.5)
        endpoint.unanswered_stops = 1000
        await echo_next_state(entry)
        caller_ms = entry.state.stamp_ms
        entry.silent = True
        await trio.sleep(held_up_ms / 1000)
        await entry.connection.send(SessionHeartbeat(caller_ms, 0))
        await trio.sleep((still_ms - held_up_ms) / 1000)
        await entry.connection.send(SessionHeartbeat(entry.state.stamp_ms, 0))
        await trio.sleep(0.02)
        await entry.connection.send(StopRuns((ref(0),), caller_ms))
        await trio.sleep(REPEAT_S - (still_ms + 20) / 1000)
        assert endpoint.lease_expired


@pytest.mark.parametrize('still_ms', range(600, 900, 50))
@pytest.mark.parametrize('broken_ms', [0, 5, 50])
async def test_link_that_breaks_after_a_standstill_costs_no_run(
    broken_ms, still_ms, autojump_clock
):
    """Guards against healthy runs that lapse because an echo is held back.

    The link breaks soon after the first echo of an entry that stood still. The
    entry resumes its session at once and echoes all further states.
    """
    async with running_guard(work_ms=3000) as (guard, _, entry, nursery):
        await entry.start(0)
        await trio.sleep(0.5)
        await echo_next_state(entry)
        entry.silent = True
        await trio.sleep(still_ms / 1000)
        await entry.connection.send(SessionHeartbeat(entry.state.stamp_ms, 0))
        await trio.sleep(broken_ms / 1000)
        await entry.connection.close()
        await trio.sleep(0.06)
        again = await guard.connect()
        nursery.start_soon(again.run)
        session = entry.opened[0].session
        await again.open(session=session, attempt=1)
        assert again.opened[0].resumed
        await again.connection.send(SessionHeartbeat(again.state.stamp_ms, 0))
        await trio.sleep(4)
        assert again.outcomes() == {(0, 1): 'done'}
