"""Runs at an endpoint that is said to be shutting down."""

from __future__ import annotations

import trio

from tests.runs.guardharness import ref, running_guard

# The lease of 800 ms on an endpoint's clock, with the time to notice its end.
LEASE_S = 0.86


def drain(guard, endpoint):
    guard.monitor.report(endpoint.status(draining=True, sequence=2))


def leave(guard, endpoint):
    guard.monitor.report_leaving(endpoint.status().endpoint_id)


async def test_run_of_a_leaving_endpoint_ends_with_its_lease(autojump_clock):
    """Guards against a task that starts elsewhere while its run works on.

    The guard does not reach the endpoint, which works on until its lease
    expires, as it gets no acknowledgement that it may end.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, _):
        await entry.start(0)
        await trio.sleep(0.5)
        drain(guard, endpoint)
        endpoint.silent = True
        leave(guard, endpoint)
        with trio.fail_after(LEASE_S + 0.2):
            while not entry.ends:
                await trio.sleep(0.001)
        assert endpoint.lease_expired
        assert entry.outcomes() == {(0, 1): 'lost'}
        assert not entry.state.accepting


async def test_run_of_a_leaving_endpoint_ends_once_it_is_listed(autojump_clock):
    """Guards against a repeat that waits for a lease without need.

    The endpoint still answers, so its runs are stopped, and one that has ended
    before is reported as done.
    """
    async with running_guard(work_ms=600) as (guard, endpoint, entry, _):
        await entry.start(0)
        await trio.sleep(0.59)
        endpoint.work_ms = 9000
        await entry.start(1)
        await trio.sleep(0.005)
        drain(guard, endpoint)
        await trio.sleep(0.01)
        leave(guard, endpoint)
        await trio.sleep(0.1)
        assert entry.outcomes() == {(0, 1): 'done', (1, 1): 'lost'}
        assert not endpoint.running


async def test_repeated_leaving_message_ends_no_run(autojump_clock):
    """Guards against a run that is reported before it has ended."""
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, _):
        await entry.start(0)
        await trio.sleep(0.5)
        drain(guard, endpoint)
        endpoint.unanswered_stops = 1000
        leave(guard, endpoint)
        await trio.sleep(0.1)
        leave(guard, endpoint)
        await trio.sleep(0.1)
        assert ref(0).task in endpoint.running
        assert not entry.ends


async def test_late_leaving_message_stops_no_run_of_the_next_incarnation(
    autojump_clock,
):
    """Guards against a run that is lost while a new incarnation works on it.

    The message of the former incarnation does not name its start time. The
    endpoint takes work again with its next report.
    """
    async with running_guard(work_ms=600) as (guard, endpoint, entry, _):
        endpoint.start_again()
        guard.monitor.report(endpoint.status())
        await trio.sleep(0.2)
        await entry.start(0)
        await trio.sleep(0.1)
        leave(guard, endpoint)
        await trio.sleep(0.1)
        assert not entry.state.accepting
        guard.monitor.report(endpoint.status(sequence=2))
        await trio.sleep(0.1)
        assert entry.state.accepting
        await trio.sleep(0.4)
        assert entry.outcomes() == {(0, 1): 'done'}


async def test_endpoint_that_has_ended_is_not_called_any_more(autojump_clock):
    """Guards against a guard that calls an endpoint that is gone for good."""
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, _):
        await entry.start(0)
        await trio.sleep(0.5)
        drain(guard, endpoint)
        leave(guard, endpoint)
        endpoint.down = True
        await trio.sleep(LEASE_S + 0.2)
        assert entry.outcomes() == {(0, 1): 'lost'}
        assert guard.monitor.supervisor is None
