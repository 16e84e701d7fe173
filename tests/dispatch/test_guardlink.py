"""Link of an entry to a guard that stops answering."""

from __future__ import annotations

import time

import pytest
import trio

from borageward.clock import SystemClock
from borageward.dispatch.guardlink import GuardLink
from borageward.messages.runs import (
    Demand,
    EndpointState,
    EntryMessage,
    OpenSession,
    RunRef,
    SessionOpened,
    StartRuns,
    StopRuns,
    TaskKey,
)
from borageward.telemetry import EventLog
from borageward.transport import Address, FrameConnection, LinkClosed

CAPACITY = Demand(8000, 8000)


class SilentGuard:
    """Guard that opens sessions, and answers orders while ``answers``.

    While ``opens`` is not set, it leaves requests for a session unanswered.
    """

    def __init__(self):
        self.opens = True
        self.answers = True
        self.last_order = 0
        self.attempts = []
        self.echoed_ms = []
        # Runs that the guard lists, and those that it was told to stop.
        self.refs = ()
        self.stopped = []
        self.caller_ms = 0
        # Heartbeats received before the last stop.
        self.echoes_before_stop = 0
        self.connection = None
        self.run_limit_ms = 1200
        # Process of the guard, and how far its clock is ahead.
        self.process = 'g'
        self.ahead_ms = 0

    def state(self):
        """Return the state of an idle endpoint."""
        return EndpointState(
            trio.current_time() * 1000 + self.ahead_ms,
            self.last_order,
            'e',
            'pool',
            (),
            accepting=True,
            capacity=CAPACITY,
            room=CAPACITY,
            slowness=1,
            failure_share=0,
            sessions=1,
        )

    async def serve(self, stream):
        """Serve a connection until it is closed."""
        connection = FrameConnection(stream, EntryMessage)
        self.connection = connection
        try:
            await self._serve(connection)
        except LinkClosed:
            await connection.close()

    async def _serve(self, connection):
        while True:
            message = await connection.receive()
            if isinstance(message, OpenSession):
                await self._open(connection, message)
            elif isinstance(message, StartRuns):
                await self._answer(connection, message)
            elif isinstance(message, StopRuns):
                self.echoes_before_stop = len(self.echoed_ms)
                self.stopped.extend(message.refs)
                self.caller_ms = message.caller_ms
            else:
                self.echoed_ms.append(message.echoed_ms)

    async def _open(self, connection, message):
        self.attempts.append(message.attempt)
        if not self.opens:
            return
        await connection.send(
            SessionOpened(
                self.process, True, self.refs, 's', self.run_limit_ms
            ),
        )
        await connection.send(self.state())

    async def _answer(self, connection, message):
        if self.answers:
            self.last_order = message.order
            await connection.send(self.state())


async def open_link(nursery, port, on_change=None):
    """Return an open link to the guard at a port."""
    link = GuardLink(
        'guard',
        Address('127.0.0.1', port),
        'entry',
        lambda *_: None,
        on_change or (lambda: None),
        SystemClock(),
        EventLog(),
    )
    nursery.start_soon(link.run)
    with trio.fail_after(10):
        while not link.is_open:
            await trio.sleep(0.01)
    return link


@pytest.fixture
async def guard_at_port(nursery):
    """Return a guard and the port at which it listens."""
    guard = SilentGuard()
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    nursery.start_soon(trio.serve_listeners, guard.serve, listeners)
    return guard, listeners[0].socket.getsockname()[1]


@pytest.fixture
async def linked(nursery, guard_at_port):
    """Return a guard and an open link to it."""
    guard, port = guard_at_port
    return guard, await open_link(nursery, port)


def order(link, index):
    """Order a run of a task."""
    link.reserve(RunRef(TaskKey('job', 0, 0, index), 1), Demand(1000))
    message = StartRuns(0, 'job', 0, 0, (), 'spec', Demand(1000), 100, 50, 0)
    link.start(message, ((index, 1),))


async def test_guard_that_leaves_an_order_unanswered_gets_no_more(linked):
    """Guards against many jobs lost at a guard that froze a moment ago.

    Its connection is given up later, when it has been silent for long enough.
    """
    guard, link = linked
    guard.answers = False
    order(link, 0)
    assert link.is_answering
    with trio.fail_after(10):
        while link.is_answering:
            await trio.sleep(0.01)
    assert link.is_open


async def test_guard_that_answers_orders_is_used_further(linked):
    """Guards against a healthy guard that is left out after each order."""
    guard, link = linked
    order(link, 0)
    with trio.fail_after(10):
        while link.state.last_order == 0:
            await trio.sleep(0.01)
    await trio.sleep(0.3)
    assert link.is_answering


async def test_reopened_link_is_newer_than_the_closed_one(
    nursery, guard_at_port
):
    """Guards against a guard that rejects a link of its entry as outdated.

    A guard that left the subset of an entry may join it again while its
    session is still kept.
    """
    guard, port = guard_at_port
    await open_link(nursery, port)
    await trio.sleep(0.01)
    await open_link(nursery, port)
    first, second = guard.attempts
    assert second > first


async def test_stop_lost_with_its_connection_is_repeated(linked):
    """Guards against a run that works on after its caller has left.

    The connection breaks while the entry stops the run. The caller may repeat
    the job through another entry, which would start the task a second time.
    """
    guard, link = linked
    order(link, 0)
    run = RunRef(TaskKey('job', 0, 0, 0), 1)
    guard.refs = (run,)
    await guard.connection.close()
    with trio.fail_after(10):
        while link.is_open:
            await trio.sleep(0.001)
    link.stop([run])
    with trio.fail_after(10):
        while not guard.stopped:
            await trio.sleep(0.01)
    assert guard.stopped == [run]


async def test_state_that_answers_an_order_is_echoed(linked):
    """Guards against a session that expires soon after its first order.

    The order itself echoes the state of before, which is old at a link that
    was idle; the guard counts the session's time from the newest echo.
    """
    guard, link = linked
    await trio.sleep(0.3)
    ordered_ms = trio.current_time() * 1000
    order(link, 0)
    with trio.fail_after(10):
        while not guard.echoed_ms or guard.echoed_ms[-1] < ordered_ms:
            await trio.sleep(0.01)


async def test_runs_are_lost_once_the_guard_has_ended_them(linked):
    """Guards against a task started elsewhere before its run has ended.

    The guard says when the runs of an entry that it does not hear have ended.
    """
    guard, link = linked
    order(link, 0)
    ordered_ms = trio.current_time() * 1000
    guard.opens = False
    await guard.connection.close()
    with trio.fail_after(10):
        while not link.is_idle:
            link.check()
            await trio.sleep(0.01)
    assert trio.current_time() * 1000 - ordered_ms > guard.run_limit_ms


@pytest.mark.parametrize('checks', [0, 1, 2])
async def test_stop_names_a_time_before_the_entry_stood_still(linked, checks):
    """Guards against a run that outlasts the repetition of its job.

    The caller may have left when the entry began to stand still. Checks after
    that may come before the stop.
    """
    guard, link = linked
    order(link, 0)
    await trio.sleep(0.1)
    link.check()
    still_ms = trio.current_time() * 1000
    time.sleep(0.3)  # noqa: ASYNC251 The process stands still.
    for _ in range(checks):
        link.check()
    link.stop([RunRef(TaskKey('job', 0, 0, 0), 1)])
    with trio.fail_after(10):
        while not guard.stopped:
            await trio.sleep(0.01)
    assert 0 < guard.caller_ms <= still_ms


async def test_repeated_stop_names_the_time_of_the_first_one(linked):
    """Guards against a run that outlasts the repetition of its job.

    The stop is lost with its connection, and the next one resumes the session.
    """
    guard, link = linked
    order(link, 0)
    run = RunRef(TaskKey('job', 0, 0, 0), 1)
    guard.refs = (run,)
    await guard.connection.close()
    with trio.fail_after(10):
        while link.is_open:
            await trio.sleep(0.001)
    link.stop([run])
    stopped_ms = trio.current_time() * 1000
    for _ in range(4):
        await trio.sleep(0.06)
        link.check()
    with trio.fail_after(10):
        while not guard.stopped:
            await trio.sleep(0.01)
    assert 0 < guard.caller_ms <= stopped_ms


async def test_stop_precedes_the_echo_of_the_state_beside_it(
    nursery, guard_at_port
):
    """Guards against a lease that is extended right before its run is stopped.

    An entry that stood still finds a state of the guard and the departure of a
    caller together. The departure leads to a stop two passes later.
    """
    guard, port = guard_at_port
    changed = trio.Event()

    async def stop_after_change():
        await changed.wait()
        link.stop([RunRef(TaskKey('job', 0, 0, 0), 1)])

    link = await open_link(nursery, port, lambda: changed.set())
    order(link, 0)
    with trio.fail_after(10):
        while link.state.last_order == 0:
            await trio.sleep(0.01)
    await trio.sleep(0.3)
    echoes = len(guard.echoed_ms)
    changed = trio.Event()
    nursery.start_soon(stop_after_change)
    await guard.connection.send(guard.state())
    with trio.fail_after(10):
        while len(guard.echoed_ms) == echoes or not guard.stopped:
            await trio.sleep(0.01)
    assert guard.echoes_before_stop == echoes


async def test_stop_names_no_time_of_a_former_guard(linked):
    """Guards against a run that outlasts the repetition of its job.

    The host of the guard lost its power, and its clock has begun anew. A time
    of the former guard is in the future of the new one, and bounds nothing.
    """
    guard, link = linked
    link.check()
    guard.process = 'h'
    guard.ahead_ms = -1_000_000
    await guard.connection.close()
    with trio.fail_after(10):
        while link.is_open:
            await trio.sleep(0.001)
        while not link.is_open:
            await trio.sleep(0.001)
    order(link, 0)
    link.stop([RunRef(TaskKey('job', 0, 0, 0), 1)])
    with trio.fail_after(10):
        while not guard.stopped:
            await trio.sleep(0.01)
    assert guard.caller_ms <= guard.state().stamp_ms
