"""Runs of an entry whose link to the guard has broken."""

from __future__ import annotations

import trio

from tests.runs.guardharness import ref, running_guard


async def reopen(guard, entry, nursery):
    """Open another link of an entry that asks for its former session."""
    reopened = await guard.connect()
    nursery.start_soon(reopened.run)
    await reopened.open(session=entry.opened[0].session, attempt=1)
    return reopened


async def test_runs_of_a_killed_entry_end_before_its_jobs_are_repeated(
    autojump_clock,
):
    """Guards against a second run after a caller has repeated its job.

    The caller sends the job to another entry 1,300 ms after its connection to
    the first one broke. The endpoint answers no stop.
    """
    async with running_guard(work_ms=9000) as (_, endpoint, entry, _nursery):
        endpoint.unanswered_stops = 1000
        await entry.start(0)
        await trio.sleep(0.5)
        await entry.connection.close()
        await trio.sleep(0.2)
        assert not endpoint.lease_expired
        await trio.sleep(1)
        assert endpoint.lease_expired


async def test_runs_of_a_killed_entry_are_stopped_soon(autojump_clock):
    """Guards against capacity that a killed entry occupies."""
    async with running_guard(work_ms=9000) as (_, endpoint, entry, _nursery):
        await entry.start(0)
        await trio.sleep(0.5)
        await entry.connection.close()
        await trio.sleep(0.2)
        assert endpoint.running
        await trio.sleep(0.1)
        assert not endpoint.running


async def test_run_outlasts_a_link_that_is_reopened_in_time(autojump_clock):
    """Guards against runs that are stopped whenever a connection is reset.

    A live entry reopens its link within 100 ms.
    """
    async with running_guard(work_ms=900) as (guard, endpoint, entry, nursery):
        await entry.start(0)
        await trio.sleep(0.3)
        await entry.connection.close()
        await trio.sleep(0.1)
        reopened = await reopen(guard, entry, nursery)
        await trio.sleep(1)
        assert reopened.outcomes() == {(0, 1): 'done'}


async def test_replaced_session_does_not_stop_the_runs_of_its_successor(
    autojump_clock,
):
    """Guards against runs of a new session that end with the former one.

    The link breaks shortly before the session expires, and the entry opens a
    new session before the time for reopening the link has passed.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, nursery):
        await entry.start(0)
        await trio.sleep(0.5)
        entry.frozen = True
        await trio.sleep(0.8)
        await entry.connection.close()
        while guard.sessions.open_sessions:
            await trio.sleep(0.005)
        endpoint.work_ms = 900
        reopened = await reopen(guard, entry, nursery)
        await reopened.start(1)
        await trio.sleep(1.5)
        assert reopened.outcomes()[(1, 1)] == 'done'


async def test_link_reopened_late_learns_how_the_runs_have_ended(
    autojump_clock,
):
    """Guards against a finished task that runs again after a long outage.

    One run ends before the runs of the broken link are stopped, the other one
    is stopped. The session must be resumed and report both.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, nursery):
        await entry.start(0)
        await trio.sleep(0.1)
        endpoint.work_ms = 200
        await entry.start(1)
        await trio.sleep(0.1)
        await entry.connection.close()
        await trio.sleep(0.5)
        reopened = await reopen(guard, entry, nursery)
        assert reopened.opened[0].resumed
        await trio.sleep(0.1)
        assert reopened.outcomes() == {(0, 1): 'lost', (1, 1): 'done'}


async def test_reopened_session_lists_runs_that_are_still_stopping(
    autojump_clock,
):
    """Guards against a second run while the first one is being stopped.

    The session has expired and the stops are unanswered. A run that a new
    session does not list counts as lost at once.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, nursery):
        endpoint.unanswered_stops = 1000
        await entry.start(0)
        await trio.sleep(0.5)
        entry.frozen = True
        await trio.sleep(0.95)
        assert guard.sessions.open_sessions == 0
        assert not endpoint.lease_expired
        reopened = await reopen(guard, entry, nursery)
        assert not reopened.opened[0].resumed
        assert reopened.opened[0].refs == (ref(0),)
        await trio.sleep(0.8)
        assert reopened.outcomes() == {(0, 1): 'lost'}
        assert endpoint.lease_expired
