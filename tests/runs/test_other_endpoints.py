"""Reports of another endpoint than the one at which runs are at work."""

from __future__ import annotations

import trio

from borageward.clock import SystemClock
from standins.endpoint import EndpointStandIn
from tests.runs.guardharness import ref, running_guard


def other_endpoint(guard):
    """Return another endpoint, which started later."""
    other = EndpointStandIn(SystemClock())
    other.start_again()
    guard.successors['endpoint-2'] = other
    return other


def report(guard, other):
    status = other.status(endpoint_id='endpoint-2', pool='other')
    guard.monitor.report(status)


async def test_report_of_another_writer_ends_no_run(autojump_clock):
    """Guards against a task that starts elsewhere while its run works on.

    The report names another endpoint, but the known one still answers.
    """
    async with running_guard(work_ms=600) as (guard, endpoint, entry, _):
        other = other_endpoint(guard)
        other.down = True
        await entry.start(0)
        await trio.sleep(0.1)
        report(guard, other)
        await trio.sleep(0.1)
        assert ref(0).task in endpoint.running
        assert not entry.ends
        assert entry.state.pool == 'dispatch'
        await trio.sleep(0.5)
        assert entry.outcomes() == {(0, 1): 'done'}
        await entry.start(1)
        await trio.sleep(0.7)
        assert entry.outcomes()[(1, 1)] == 'done'


async def test_successor_takes_over_once_leases_have_expired(autojump_clock):
    """Guards against an early end of runs, and a successor that is ignored.

    The former endpoint is cut off from its guard and may work on until its
    lease expires.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, _):
        successor = other_endpoint(guard)
        await entry.start(0)
        await trio.sleep(0.5)
        endpoint.silent = True
        report(guard, successor)
        with trio.fail_after(1.5):
            while not entry.ends:
                await trio.sleep(0.001)
        assert endpoint.lease_expired
        await trio.sleep(0.3)
        assert entry.state.endpoint_id == 'endpoint-2'
        assert entry.state.accepting


async def test_endpoint_that_never_answered_gives_way(autojump_clock):
    """Guards against an endpoint that is lost to an earlier odd report.

    The odd report arrived first and names a later start time.
    """
    async with running_guard() as (guard, endpoint, entry, _):
        odd = other_endpoint(guard)
        odd.down = True
        endpoint.silent = True
        await trio.sleep(3)
        report(guard, odd)
        await trio.sleep(0.1)
        endpoint.silent = False
        guard.monitor.report(endpoint.status(sequence=2))
        await trio.sleep(0.3)
        assert entry.state.endpoint_id == 'endpoint-1'
        assert entry.state.accepting


async def check_end(entry, endpoint):
    """Check for a second that the end of the run is not reported too early."""
    for _ in range(1000):
        await trio.sleep(0.001)
        is_at_work = ref(0).task in endpoint.running
        if is_at_work and not endpoint.lease_expired:
            assert not entry.ends


async def test_wrong_start_time_ends_no_run(autojump_clock):
    """Guards against a task that starts elsewhere while its run works on.

    A report under the id of the endpoint names a later start time, but the
    endpoint still answers with its own.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, _):
        await entry.start(0)
        await trio.sleep(0.5)
        guard.monitor.report(endpoint.status(born_ms=99, sequence=2))
        await check_end(entry, endpoint)


async def test_report_of_another_writer_ends_no_run_in_doubt(autojump_clock):
    """Guards against a task that starts elsewhere while its run works on.

    An endpoint that has started again under its id has carried out a start and
    answers no call. Another writer reports another endpoint.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, _):
        other = other_endpoint(guard)
        other.down = True
        endpoint.start_again()
        await entry.start(0)
        await trio.sleep(0.02)
        endpoint.silent = True
        guard.monitor.report(endpoint.status())
        await trio.sleep(0.1)
        report(guard, other)
        await check_end(entry, endpoint)
