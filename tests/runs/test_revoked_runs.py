"""Runs without authority at an endpoint that does not answer their stops."""

from __future__ import annotations

import trio

from borageward.messages.runs import Demand, StartRuns, StopRuns
from tests.runs.guardharness import ref, running_guard

# The lease of 800 ms on an endpoint's clock, with the time to notice its end.
LEASE_S = 0.83


def order(entry, index):
    """Return an order that echoes the newest state of an entry."""
    return StartRuns(
        1,
        'job',
        0,
        0,
        ((index, 1),),
        'spec',
        Demand(1000, 1000),
        100,
        50,
        entry.state.stamp_ms,
    )


async def test_unanswered_stop_of_an_entry_ends_with_the_lease(autojump_clock):
    """Guards against a stopped run that works on because stops are unanswered.

    The lease must not be renewed for it, even while other runs need it, and
    the ends that the endpoint lists are reported.
    """
    async with running_guard(work_ms=9000) as (_, endpoint, entry, _nursery):
        endpoint.unanswered_stops = 1000
        await entry.start(0, 1)
        await trio.sleep(0.5)
        await entry.stop(ref(0))
        await trio.sleep(LEASE_S)
        assert endpoint.lease_expired
        await trio.sleep(0.1)
        assert entry.outcomes() == {(0, 1): 'lost', (1, 1): 'lost'}


async def test_run_of_a_silent_entry_ends_with_the_lease(autojump_clock):
    """Guards against a run that works on after its session has expired.

    Entries count on the end of the lease 1,200 ms after their last heartbeat,
    whether or not the endpoint answers the stops.
    """
    async with running_guard(work_ms=9000) as (_, endpoint, entry, _nursery):
        endpoint.unanswered_stops = 1000
        await entry.start(0)
        await trio.sleep(0.5)
        entry.frozen = True
        await trio.sleep(1.2)
        assert endpoint.lease_expired


async def test_start_does_not_extend_the_lease_of_a_revoked_run(
    autojump_clock,
):
    """Guards against a start whose lease keeps a stopped run alive.

    The lease of a start applies to all runs. The start waits until the lease
    has ended the stopped run.
    """
    async with running_guard(work_ms=9000) as (_, endpoint, entry, _nursery):
        endpoint.unanswered_stops = 1000
        await entry.start(0)
        await trio.sleep(0.5)
        await entry.stop(ref(0))
        await trio.sleep(0.5)
        endpoint.work_ms = 100
        await entry.start(1)
        await trio.sleep(0.25)
        assert not entry.state.accepting
        assert ref(1) not in endpoint.starts
        assert not entry.outcomes()
        await trio.sleep(0.15)
        assert ref(0).task not in endpoint.running
        assert entry.state.accepting
        await trio.sleep(0.3)
        assert entry.outcomes() == {(0, 1): 'lost', (1, 1): 'done'}


async def test_confirmed_stop_lets_other_runs_and_starts_go_on(autojump_clock):
    """Guards against runs that lapse although the stop was confirmed.

    The first two stops are unanswered; the third one is confirmed after 0.34 s.
    """
    async with running_guard(work_ms=3000) as (_, endpoint, entry, _nursery):
        endpoint.unanswered_stops = 2
        await entry.start(0, 1)
        await trio.sleep(0.5)
        await entry.stop(ref(0))
        await trio.sleep(0.4)
        await entry.start(2)
        await trio.sleep(4)
        assert entry.outcomes() == {
            (0, 1): 'lost',
            (1, 1): 'done',
            (2, 1): 'done',
        }


async def test_unanswered_stop_of_a_stalled_run_keeps_the_lease(
    autojump_clock,
):
    """Guards against runs that lapse because another one has stalled.

    A stalled run has not lost its authority, so its stop may take longer than
    a lease.
    """
    async with running_guard(work_ms=3000) as (_, endpoint, entry, _nursery):
        endpoint.hanging = True
        await entry.start(0)
        await trio.sleep(0.05)
        endpoint.hanging = False
        endpoint.unanswered_stops = 10
        await entry.start(1)
        await trio.sleep(4)
        assert entry.outcomes() == {(0, 1): 'lost', (1, 1): 'done'}


async def test_orphan_with_unanswered_stops_ends_with_the_lease(
    autojump_clock,
):
    """Guards against an unknown run whose lease is renewed for the known ones.

    The endpoint carries out a start late in a new incarnation, and leaves the
    stops of the run unanswered.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, _):
        endpoint.unanswered_starts = 1
        endpoint.apply_unanswered_starts = False
        await entry.start(0)
        await trio.sleep(0.3)
        endpoint.start_again()
        endpoint.unanswered_stops = 1000
        endpoint.apply_late_starts()
        guard.monitor.report(endpoint.status())
        await trio.sleep(0.05)
        await entry.start(1)
        await trio.sleep(1.05)
        assert ref(0).task not in endpoint.running or endpoint.lease_expired


async def test_late_confirmation_of_a_stop_keeps_the_other_runs(
    autojump_clock,
):
    """Guards against runs that lapse because another entry was silent.

    Its run limits the lease until the third stop is confirmed, shortly before
    the lease ends.
    """
    async with running_guard(work_ms=3000) as (guard, endpoint, entry, nursery):
        silent = await guard.connect('entry-2')
        nursery.start_soon(silent.run)
        await silent.open()
        await silent.start(0)
        await entry.start(1)
        await trio.sleep(0.5)
        endpoint.unanswered_stops = 2
        silent.frozen = True
        await trio.sleep(3)
        assert ref(0).task not in endpoint.running
        assert entry.outcomes() == {(1, 1): 'done'}


async def test_run_that_is_withdrawn_with_its_order_does_not_start(
    autojump_clock,
):
    """Guards against a start that the entry has withdrawn.

    An entry that stood still orders a task and notices at once that its caller
    has left, so the order and the stop arrive together. The caller may have
    repeated the job elsewhere. The endpoint leaves the stop unanswered.
    """
    async with running_guard(work_ms=9000) as (_, endpoint, entry, _nursery):
        endpoint.unanswered_stops = 1000
        await entry.connection.send_all(
            [order(entry, 0), StopRuns((ref(0),))],
        )
        await trio.sleep(0.5)
        assert not endpoint.starts
        assert entry.outcomes() == {(0, 1): 'refused'}
