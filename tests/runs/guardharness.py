"""In-memory guard with stand-ins for its endpoint and its entries."""

from __future__ import annotations

import contextlib

import trio
from trio.testing import memory_stream_pair, wait_all_tasks_blocked

from borageward.clock import SystemClock
from borageward.messages.runs import (
    Demand,
    EndpointState,
    GuardMessage,
    OpenSession,
    RunEnd,
    RunRef,
    RunsEnded,
    SessionHeartbeat,
    SessionOpened,
    StartRuns,
    StopRuns,
    TaskKey,
)
from borageward.runs.incarnations import EndpointMonitor
from borageward.runs.sessionserver import SessionServer
from borageward.runs.table import RunTable
from borageward.telemetry import EventLog
from borageward.transport import FrameConnection, LinkClosed
from standins.endpoint import EndpointStandIn


def ref(index=0, run=1, job='job'):
    """Return a reference to a run of a task in the first step of a job."""
    return RunRef(TaskKey(job, 0, 0, index), run)


class RecordingLog(EventLog):
    """Event log that keeps the events of level info and above."""

    def __init__(self):
        """Start without events."""
        super().__init__()
        self.events = []

    def event(self, name, **fields):
        """Keep an event."""
        self.events.append((name, fields))

    def warning(self, name, **fields):
        """Keep a warning."""
        self.events.append((name, fields))

    def of(self, name):
        """Return the fields of all events with a name."""
        return [fields for event, fields in self.events if event == name]


class Entry:
    """Entry that follows the protocol.

    While ``frozen`` it sends no heartbeats and ignores received states; while
    ``silent`` it only sends no heartbeats.
    """

    def __init__(self, stream, name='entry-1'):
        self.name = name
        self.connection: FrameConnection[GuardMessage] = FrameConnection(
            stream,
            GuardMessage,
        )
        self.state: EndpointState | None = None
        self.opened: list[SessionOpened] = []
        self.ends: list[RunEnd] = []
        self.frozen = False
        self.silent = False
        self.received = 0
        self.opened_stamp_ms = 0
        self._last_order = 0

    async def run(self):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_heartbeats)
            try:
                await self._read()
            except LinkClosed:
                nursery.cancel_scope.cancel()

    async def open(self, seen_end=0, session='', attempt=0):
        await self.connection.send(
            OpenSession(self.name, seen_end, session, attempt),
        )
        while self.state is None:
            await trio.sleep(0.005)
        self.opened_stamp_ms = self.state.stamp_ms

    async def start(self, *indexes, run=1, job='job', stamp_ms=None):
        self._last_order += 1
        message = StartRuns(
            self._last_order,
            job,
            0,
            0,
            tuple((index, run) for index in indexes),
            'spec',
            Demand(1000, 1000),
            100,
            50,
            self.state.stamp_ms if stamp_ms is None else stamp_ms,
        )
        await self.connection.send(message)

    async def stop(self, *refs):
        await self.connection.send(StopRuns(tuple(refs)))

    def outcomes(self):
        return {
            (end.ref.task.index, end.ref.run): end.outcome.value
            for end in self.ends
        }

    async def _send_heartbeats(self):
        while True:
            await trio.sleep(0.2)
            if self.state is not None and not self.frozen | self.silent:
                await self.connection.send(
                    SessionHeartbeat(self.state.stamp_ms, len(self.ends)),
                )

    async def _read(self):
        while True:
            message = await self.connection.receive()
            self.received += 1
            if isinstance(message, SessionOpened):
                self.opened.append(message)
            elif isinstance(message, RunsEnded):
                self.ends.extend(message.ends)
            elif not self.frozen:
                self.state = message


class Guard:
    """One guard process; a second one at the same endpoint is a restart."""

    def __init__(self, endpoint, nursery, clock=None):
        clock = clock or endpoint.clock
        log = RecordingLog()
        self.log = log
        self.table = RunTable()
        self.sessions = SessionServer(self.table, clock, log)
        # Endpoints at this host by id, besides the first one.
        self.successors = {}
        self.monitor = EndpointMonitor(
            lambda status: self.successors.get(status.endpoint_id, endpoint),
            self.table,
            self.sessions.report_run_end,
            self.sessions.notify,
            clock,
            endpoint.clock,
            log,
        )
        self.sessions.attach(self.monitor)
        self.scope = trio.CancelScope()
        self._nursery = nursery

    async def run(self):
        with self.scope:
            async with trio.open_nursery() as nursery:
                self.monitor.start(nursery)
                self._nursery = nursery
                await self.sessions.run()

    async def connect(self, name='entry-1'):
        entry_stream, guard_stream = memory_stream_pair()
        self._nursery.start_soon(self.sessions.serve, guard_stream)
        return Entry(entry_stream, name)


@contextlib.asynccontextmanager
async def running_guard(work_ms=100, clock=None):
    """Run a guard with an open entry session and an accepting endpoint.

    Each task takes ``work_ms``. Yields the guard, the endpoint, the entry and
    the nursery in which they run.
    """
    endpoint = EndpointStandIn(SystemClock(), work_ms)
    async with trio.open_nursery() as nursery:
        guard = Guard(endpoint, nursery, clock)
        nursery.start_soon(guard.run)
        await wait_all_tasks_blocked()
        guard.monitor.report(endpoint.status())
        entry = await guard.connect()
        nursery.start_soon(entry.run)
        await entry.open()
        while not entry.state.accepting:
            await trio.sleep(0.01)
        yield guard, endpoint, entry, nursery
        nursery.cancel_scope.cancel()
