"""Orders and stops of an entry whose session has expired at the guard."""

from __future__ import annotations

import pytest
import trio

from borageward.runs.link import EntryLink
from borageward.transport import LinkClosed
from tests.runs.guardharness import ref, running_guard


async def test_order_of_an_expired_session_starts_nothing(
    autojump_clock, monkeypatch
):
    """Guards against two runs of one task after a short partition.

    The order is held up by the partition while the session expires. The entry
    reconnects, is told that the run is not here, and starts the task at another
    guard; then the order arrives on the former connection.
    """
    closed = []

    async def record_close(link):
        """Leave the connection open, like one whose end is held up too."""
        closed.append(link)

    monkeypatch.setattr(EntryLink, 'close', record_close)
    async with running_guard(work_ms=3000) as (guard, endpoint, entry, nursery):
        await entry.start(0)
        entry.silent = True
        while await_open := guard.sessions.open_sessions:
            stamp_ms = entry.state.stamp_ms
            await trio.sleep(0.01)
        assert not await_open
        assert closed
        reconnected = await guard.connect()
        nursery.start_soon(reconnected.run)
        await reconnected.open(session=entry.opened[0].session, attempt=1)
        assert ref(1) not in reconnected.opened[0].refs
        await entry.start(1, stamp_ms=stamp_ms)
        await trio.sleep(0.2)
        assert ref(1) not in endpoint.starts


async def test_link_of_an_expired_session_is_closed(autojump_clock):
    """Guards against an entry that sends orders to a session that is gone.

    Without a reconnect nothing else would stop a run that such an order starts.
    """
    async with running_guard(work_ms=3000) as (
        guard,
        endpoint,
        entry,
        _nursery,
    ):
        await entry.start(0)
        entry.silent = True
        while guard.sessions.open_sessions:
            await trio.sleep(0.01)
        await trio.sleep(0.01)
        with pytest.raises(LinkClosed):
            await entry.start(1)
        await trio.sleep(0.5)
        assert ref(1) not in endpoint.starts
