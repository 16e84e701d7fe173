"""Starts through the gate: once each, refused by type, within slots."""

from __future__ import annotations

import trio

from borageward.identity import new_job_id
from tests.guard import harness

_JOB = new_job_id(1)


async def test_results_reach_the_entry(autojump_clock):
    """Guards against a lost result and a task that never starts."""
    async with harness.running_guard() as bench:
        entry = await bench.entry(1)
        await entry.send(harness.start(_JOB, 1, range(20), echo='salt'))
        await trio.sleep(1)
        assert len(entry.outcomes()) == 20
        assert entry.outcomes()[(_JOB, 3)].result == b'"salt"'
        assert sorted(bench.starts_of(_JOB)) == list(range(20))
        await bench.guard.close()
