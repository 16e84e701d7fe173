"""Runs that lose their authority while their start is under way."""

from __future__ import annotations

import trio

from tests.runs.guardharness import ref, running_guard


async def test_stopped_run_whose_start_failed_ends_without_a_confirmed_stop(
    autojump_clock,
):
    """Guards against a run, and all starts, that wait without end.

    The entry stops the run while its start is under way. The endpoint never
    carries the start out and leaves stops unanswered, but lists its runs.
    """
    async with running_guard(work_ms=300) as (guard, endpoint, entry, _):
        endpoint.unanswered_starts = 1
        endpoint.apply_unanswered_starts = False
        endpoint.unanswered_stops = 1_000_000
        await entry.start(0)
        await trio.sleep(0.02)
        await entry.stop(ref(0))
        await trio.sleep(5)
        assert [end.ref for end in entry.ends] == [ref(0)]
        await entry.start(1)
        await trio.sleep(1)
        assert entry.outcomes().get((1, 1)) == 'done'
