"""Guard in memory with stand-ins for its runner, control and entries."""

from __future__ import annotations

import contextlib
import io
import json
import random

import trio
from trio.testing import memory_stream_pair

from borageward.clock import SystemClock
from borageward.configuration import (
    encode_configuration,
    initial_configuration,
)
from borageward.controlclient import ControlClient
from borageward.failures import Failure, FailureReason
from borageward.guard import GuardService
from borageward.identity import format_job_id
from borageward.messages import control as wire
from borageward.messages import guard as link
from borageward.messages.task import RunClass, TaskPhase, TaskSpec
from borageward.policy.fifo_scheduler import FifoSlotScheduler
from borageward.settings import ControlAddress, GuardSettings
from borageward.telemetry import EventLog
from borageward.transport import Address, FrameConnection, LinkClosed
from standins.runner import RunnerStandIn

SETTINGS = GuardSettings(
    worker='w1',
    service='dispatch',
    link_address='127.0.0.1:0',
    runner_address='127.0.0.1:1',
    control=(ControlAddress('127.0.0.1:2', '127.0.0.1:3'),),
)
_DOCUMENT = encode_configuration(initial_configuration())


class JumpClock(SystemClock):
    """Clock that a test moves on, as a thawed process finds it."""

    offset_ms = 0

    def now_ms(self):
        """Return the time with all jumps."""
        return super().now_ms() + self.offset_ms


class ControlPeer:
    """Control replica that answers registrations and heartbeats."""

    def __init__(self):
        self.requests = []
        self.ended = []
        self.cut = False
        self.incarnation = 100
        self.live = set()

    async def call(self, request, timeout_ms):
        """Answer one request."""
        await trio.sleep(0.001)
        self.requests.append(request)
        if self.cut:
            await trio.sleep(timeout_ms / 1000)
            return Failure(FailureReason.TIMEOUT)
        if isinstance(request, wire.RegisterGuard):
            self.incarnation += 1
            self.live.add(self.incarnation)
            ended = tuple(self.ended)
            return wire.Registered(
                self.incarnation,
                1,
                _DOCUMENT,
                ended,
                len(ended),
            )
        if isinstance(request, wire.EndIncarnation):
            self.live.discard(request.incarnation)
            return wire.Done()
        if request.incarnation not in self.live:
            return Failure(FailureReason.INCARNATION_ENDED)
        fresh = tuple(self.ended[request.ended_after :])
        return wire.HeartbeatReply(1, b'', fresh, len(self.ended), 1)

    async def close(self):
        """Close nothing."""


class MemoryNetwork:
    """Network of memory streams around one guard."""

    def __init__(self, nursery, runner, peer):
        self._nursery = nursery
        self._runner = runner
        self._peer = peer
        self._handler = None
        self.runner_down = False
        self.connect_s = 0.001

    async def listen(self, nursery, handler):
        """Keep the handler for links."""
        self._handler = handler
        return Address('127.0.0.1', 9)

    async def stop_listening(self):
        """Accept no further link."""
        self._handler = None

    async def connect_runner(self):
        """Connect to the stand-in, or raise as a closed port does."""
        await trio.sleep(self.connect_s)
        if self.runner_down:
            raise ConnectionRefusedError('refused')
        near, far = memory_stream_pair()
        self._nursery.start_soon(self._runner.serve, far)
        return near

    def open_control(self, clock, nursery):
        """Return a client of the stand-in."""
        return ControlClient({'c': self._peer}, clock, random.Random(1))

    def dial(self):
        """Return the entry's end of a new link."""
        near, far = memory_stream_pair()
        self._nursery.start_soon(self._handler, far)
        return near


class Entry:
    """Entry side of one link; keeps every message that arrived."""

    def __init__(self, bench, incarnation, acknowledges=True):
        self._bench = bench
        self.incarnation = incarnation
        self.acknowledges = acknowledges
        self.received = []
        self.connection = None

    async def connect(self, greet=True):
        """Open a link and introduce this incarnation."""
        self.connection = FrameConnection(
            self._bench.network.dial(),
            link.GuardToEntry,
        )
        self._bench.nursery.start_soon(self._read, self.connection)
        if greet:
            await self.send(link.Hello(self.incarnation, 'e'))
            await trio.sleep(0.01)
        return self

    async def send(self, message):
        """Send a message unless the link is gone."""
        with contextlib.suppress(LinkClosed):
            await self.connection.send(message)

    async def drop(self):
        """Break the link."""
        await self.connection.close()

    def of_type(self, kind):
        """Return the received messages of a type."""
        return [item for item in self.received if isinstance(item, kind)]

    def outcomes(self):
        """Return received outcomes by job and index."""
        return {
            (item.job_id, item.outcome.index): item.outcome
            for message in self.of_type(link.TasksFinished)
            for item in message.outcomes
        }

    def refusals(self):
        """Return the reasons of refused tasks by job, index and attempt."""
        return {
            (message.job_id, index, message.attempt): message.reason
            for message in self.of_type(link.TasksRefused)
            for index in message.indexes
        }

    async def _read(self, connection):
        with contextlib.suppress(LinkClosed):
            while True:
                message = await connection.receive()
                self.received.append(message)
                if self.acknowledges and isinstance(
                    message,
                    link.TasksFinished,
                ):
                    for item in message.outcomes:
                        await self.send(
                            link.Acknowledge(
                                item.job_id,
                                (item.outcome.index,),
                            ),
                        )


class Bench:
    """Running guard with its stand-ins."""

    def __init__(self, nursery, settings, slots):
        self.nursery = nursery
        self.clock = JumpClock()
        self.journal = io.StringIO()
        self.runner = RunnerStandIn(slots, self.journal)
        self.control = ControlPeer()
        self.network = MemoryNetwork(nursery, self.runner, self.control)
        self.guard = GuardService(
            settings,
            'nadi-depot',
            self.clock,
            EventLog(),
            FifoSlotScheduler(slots),
            network=self.network,
        )

    def starts(self):
        """Return the journal's lines: job, index and tag of each start."""
        lines = self.journal.getvalue().splitlines()
        return [tuple(line.split()) for line in lines]

    def starts_of(self, job_id):
        """Return the indexes that started of a job, in order."""
        name = format_job_id(job_id)
        return [int(index) for job, index, _ in self.starts() if job == name]

    async def entry(self, incarnation, acknowledges=True):
        """Return an entry with an open link."""
        return await Entry(self, incarnation, acknowledges).connect()


@contextlib.asynccontextmanager
async def running_guard(settings=SETTINGS, slots=8, ended=()):
    """Run a guard that has registered."""
    async with trio.open_nursery() as nursery:
        bench = Bench(nursery, settings, slots)
        bench.control.ended.extend(ended)
        await bench.guard.start(nursery)
        await trio.sleep(0.1)
        yield bench
        nursery.cancel_scope.cancel()


def start(job_id, incarnation, indexes, attempt=1, remaining_ms=60_000, **run):
    """Return a start message whose journal tag names its sender."""
    run.setdefault('run_ms', 10)
    run['tag'] = f'{incarnation}.{attempt}'
    payload = json.dumps(run).encode()
    return link.StartTasks(
        job_id,
        incarnation,
        'dispatch',
        False,
        remaining_ms,
        tuple(
            TaskSpec(index, attempt, 'k', payload, True, RunClass.SHORT, 10)
            for index in indexes
        ),
    )


def phases(settled):
    """Return the phases of a settlement by index."""
    return {report.index: report.phase for report in settled.reports}


def check_starts_once(bench):
    """Fail when the runner saw a task twice."""
    keys = [(job, index) for job, index, _ in bench.starts()]
    assert len(keys) == len(set(keys)), 'a task started twice'


def check_not_run(bench, claims):
    """Fail when a task started that an entry was told had not run.

    A claim names job, index, owner and the highest attempt that it covers.
    """
    started = {}
    for job, index, tag in bench.starts():
        owner, attempt = tag.split('.')
        started[(job, int(index), int(owner))] = int(attempt)
    for job_id, index, owner, attempt in claims:
        at = started.get((format_job_id(job_id), index, owner))
        assert at is None or at > attempt, 'a task told not run started'


def refusal_claims(entry):
    """Return the claims of an entry's refusals."""
    return [
        (job_id, index, entry.incarnation, attempt)
        for job_id, index, attempt in entry.refusals()
    ]


def settled_claims(settled, owner, attempt):
    """Return the claims of a settlement."""
    return [
        (settled.job_id, report.index, owner, attempt)
        for report in settled.reports
        if report.phase is TaskPhase.NOT_RUN
    ]
