"""What an entry believes of its runs at a guard that it cannot reach."""

from __future__ import annotations

import math

import pytest
import trio
from trio.testing import memory_stream_pair

from borageward.clock import SystemClock
from borageward.dispatch.guardlink import GuardLink
from borageward.messages.runs import RunOutcome, RunRef, TaskKey
from borageward.telemetry import EventLog
from borageward.transport import Address
from tests.dispatch.test_guardlink import SilentGuard, order

# A guard expires a session this long after the newest stamp that the entry has
# returned, and ends its runs after that.
SESSION_MS = 900
CHECK_S = 0.1


class CutOffGuard(SilentGuard):
    """Guard that can be cut off, and keeps the time of the last message."""

    def __init__(self):
        super().__init__()
        self.is_cut_off = False
        self.heard_ms = -math.inf

    async def connect(self, nursery):
        """Return the entry's end of a connection, or fail like a cut."""
        if self.is_cut_off:
            raise OSError('no route')
        entry_stream, guard_stream = memory_stream_pair()
        nursery.start_soon(self.serve, guard_stream)
        return entry_stream

    async def _answer(self, connection, message):
        self.heard_ms = trio.current_time() * 1000
        await super()._answer(connection, message)


@pytest.fixture
async def cut_off_guard(nursery, monkeypatch):
    """Return a guard to which links connect in memory."""
    guard = CutOffGuard()

    async def open_stream(_host, _port):
        return await guard.connect(nursery)

    monkeypatch.setattr(trio, 'open_tcp_stream', open_stream)
    return guard


async def check_link(link):
    """Check a link at the interval of the service."""
    while True:
        await trio.sleep(CHECK_S)
        link.check()


async def open_link(nursery, ends):
    """Return an open link that records the ends of its runs."""

    def on_end(ref, outcome, _detail):
        ends[ref] = (outcome, trio.current_time() * 1000)

    link = GuardLink(
        'guard',
        Address('127.0.0.1', 1),
        'entry',
        on_end,
        lambda: None,
        SystemClock(),
        EventLog(),
    )
    nursery.start_soon(link.run)
    nursery.start_soon(check_link, link)
    while not link.is_open:
        await trio.sleep(0.01)
    return link


async def test_run_at_a_lost_guard_is_kept_until_it_must_have_ended(
    nursery, cut_off_guard, autojump_clock
):
    """Guards against a task that starts elsewhere beside its first run.

    The guard is cut off right after an order. It expires the session and lets
    the lease pass, which the entry has to wait for.
    """
    ends = {}
    link = await open_link(nursery, ends)
    order(link, 0)
    await trio.sleep(0.01)
    cut_off_guard.is_cut_off = True
    await cut_off_guard.connection.close()
    with trio.fail_after(10):
        while not ends:
            await trio.sleep(0.01)
    outcome, ended_ms = next(iter(ends.values()))
    assert outcome is RunOutcome.LOST
    assert ended_ms - cut_off_guard.heard_ms > SESSION_MS


async def test_run_of_a_session_that_is_resumed_is_kept(
    nursery, cut_off_guard, autojump_clock
):
    """Guards against a run that is given up although its guard has it.

    The session is resumed before its runs must have ended.
    """
    ends = {}
    link = await open_link(nursery, ends)
    order(link, 0)
    await trio.sleep(0.01)
    cut_off_guard.refs = (RunRef(TaskKey('job', 0, 0, 0), 1),)
    cut_off_guard.is_cut_off = True
    await cut_off_guard.connection.close()
    await trio.sleep(0.5)
    cut_off_guard.is_cut_off = False
    await trio.sleep(3)
    assert not ends
