"""Waiting runs of an entry whose echoes are always late."""

from __future__ import annotations

import trio

from borageward.messages.runs import SessionHeartbeat
from tests.runs.guardharness import running_guard

# Age of the stamps that a slow entry echoes; its session does not expire.
LAG_MS = 750


async def echo_late(entry, clock):
    """Echo stamps of a fixed age."""
    while True:
        await trio.sleep(0.1)
        stamp_ms = clock.now_ms() - LAG_MS
        await entry.connection.send(SessionHeartbeat(stamp_ms, 0))


async def test_waiting_run_of_a_slow_entry_keeps_no_room_from_others(
    autojump_clock,
):
    """Guards against capacity that stays unused while a live entry waits.

    The run of the slow entry may not take the lease in force, which the other
    entry's run keeps renewed, so it cannot start however long it waits.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, nursery):
        endpoint.slots = 2
        guard.monitor.report(endpoint.status(sequence=2))
        slow = await guard.connect('entry-2')
        nursery.start_soon(slow.run)
        await slow.open()
        slow.silent = True
        await entry.start(0)
        await trio.sleep(1)
        nursery.start_soon(echo_late, slow, endpoint.clock)
        await trio.sleep(0.2)
        await slow.start(1, stamp_ms=endpoint.clock.now_ms() - LAG_MS)
        await trio.sleep(0.1)
        await entry.start(2)
        await trio.sleep(3)
        assert len(endpoint.running) == 2
