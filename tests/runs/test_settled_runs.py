"""Settling of an unanswered start whose stops stay unanswered as well."""

from __future__ import annotations

import trio

from tests.runs.guardharness import ref, running_guard


async def test_start_carried_out_during_its_settlement_is_stopped(
    autojump_clock,
):
    """Guards against a run that no stop reaches.

    The start is carried out shortly before its lease ends, after the lists
    that lacked it, while the stops that settle it get no answer.
    """
    async with running_guard(work_ms=9000) as (_, endpoint, entry, _nursery):
        await entry.start(5)
        await trio.sleep(0.3)
        endpoint.unanswered_starts = 1
        endpoint.apply_unanswered_starts = False
        endpoint.unanswered_stops = 6
        await entry.start(0)
        await trio.sleep(0.67)
        endpoint.apply_late_starts()
        assert ref(0).task in endpoint.running
        await trio.sleep(0.5)
        await entry.stop(ref(0))
        await trio.sleep(2)
        assert ref(0).task not in endpoint.running
