"""Orders and stops of an entry whose session has expired at the guard."""

from __future__ import annotations

import contextlib

import trio

from borageward.transport import LinkClosed
from tests.runs.guardharness import ref, running_guard


async def test_order_of_an_expired_session_starts_nothing(autojump_clock):
    """Guards against two runs of one task after a short partition.

    The order is held up by the partition while the session expires. The entry
    reconnects, is told that the run is not here, and starts the task at another
    guard; then the order arrives on the former connection.
    """
    async with running_guard(work_ms=3000) as (guard, endpoint, entry, nursery):
        await entry.start(0)
        entry.silent = True
        while await_open := guard.sessions.open_sessions:
            stamp_ms = entry.state.stamp_ms
            await trio.sleep(0.01)
        assert not await_open
        reconnected = await guard.connect()
        nursery.start_soon(reconnected.run)
        await reconnected.open(session=entry.opened[0].session, attempt=1)
        assert ref(1) not in reconnected.opened[0].refs
        # The guard may have closed the former connection.
        with contextlib.suppress(LinkClosed):
            await entry.start(1, stamp_ms=stamp_ms)
        await trio.sleep(0.2)
        assert ref(1) not in endpoint.starts
