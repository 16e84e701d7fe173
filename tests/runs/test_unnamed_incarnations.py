"""Reports that do not name the start time of an endpoint."""

from __future__ import annotations

import trio

from tests.runs.guardharness import ref, running_guard


async def check_end(entry, endpoint):
    """Check for a second that the end of the run is not reported too early."""
    for _ in range(1000):
        await trio.sleep(0.001)
        is_at_work = ref(0).task in endpoint.running
        if is_at_work and not endpoint.lease_expired:
            assert not entry.ends


async def test_first_report_without_a_start_time_ends_no_run_later(
    autojump_clock,
):
    """Guards against a task that starts elsewhere while its run works on.

    The first report came from another writer and lacks the start time. The
    next one names it, and is of the same incarnation. A stop is lost.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, nursery):
        again = type(guard)(endpoint, nursery)
        guard.scope.cancel()
        nursery.start_soon(again.run)
        await trio.sleep(0.01)
        again.monitor.report(endpoint.status(born_ms=0))
        entry = await again.connect('entry-2')
        nursery.start_soon(entry.run)
        await entry.open()
        while not entry.state.accepting:
            await trio.sleep(0.01)
        await entry.start(0)
        await trio.sleep(0.5)
        assert ref(0).task in endpoint.running
        endpoint.unanswered_stops = 1
        again.monitor.report(endpoint.status(sequence=2))
        await check_end(entry, endpoint)
