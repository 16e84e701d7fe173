"""Simulated disks, clocks, network and control processes for fault tests."""

from __future__ import annotations

import random
from collections.abc import Iterator

import trio

from borageward.control.cluster.manifeststore import ManifestStore
from borageward.control.consensus import Node, NodeOptions
from borageward.control.service.leases import LeaseTable
from borageward.control.service.reads import Reader
from borageward.control.service.router import RequestRouter
from borageward.control.storage import StorageError
from borageward.control.storage.errors import disk_full, storage_failed
from borageward.failures import Failure, FailureReason
from borageward.messages.consensus import ConsensusRequest, Replica
from borageward.messages.queues import ManifestRequest
from borageward.settings import ControlSettings
from borageward.telemetry import EventLog

BASE_SYNC_MS = 4
START_WALL_MS = 1_700_000_000_000


class Gate:
    """Suspends the tasks of a process while the process is frozen."""

    def __init__(self):
        self._open = trio.Event()
        self._open.set()

    def freeze(self):
        # A second freeze must keep the event that tasks already wait for;
        # otherwise ``thaw`` would not wake them.
        if self._open.is_set():
            self._open = trio.Event()

    def thaw(self):
        self._open.set()

    async def wait_open(self):
        await self._open.wait()


class FakeClock:
    """Virtual time of one process, with a skewed wall clock if wanted."""

    def __init__(self, gate=None, skew_ms=0):
        self.gate = gate or Gate()
        self.skew_ms = skew_ms

    def now_ms(self):
        return trio.current_time() * 1000

    def wall_ms(self):
        return START_WALL_MS + int(self.now_ms()) + self.skew_ms

    async def sleep_ms(self, duration_ms):
        await trio.sleep(max(0, duration_ms) / 1000)
        await self.gate.wait_open()


class Medium:
    """Durable contents of a disk, which survive the end of a process."""

    def __init__(self):
        self.files: dict[str, bytes] = {}
        self.full = False
        self.fail_sync = False

    def fill(self):
        """Let all writes fail for lack of space."""
        self.full = True

    def fail_next_sync(self):
        """Let the next sync fail."""
        self.fail_sync = True


class FakeDisk:
    """Disk of one process, which may be killed while a sync runs."""

    def __init__(self, medium, gate, source):
        self._medium = medium
        self._gate = gate
        self._random = source
        self._crashed = False
        self._unsynced: dict[str, bytes] = {}

    def crash(self):
        """Keep a random prefix of each unsynced write, as in a host crash."""
        self._crashed = True
        for name, addition in self._unsynced.items():
            kept = addition[: self._random.randint(0, len(addition))]
            self._add(name, kept)

    async def names(self):
        return tuple(sorted(self._medium.files))

    async def read(self, name):
        return self._medium.files.get(name, b'')

    async def append(self, name, addition):
        if self._medium.full:
            return disk_full('no space')
        self._unsynced[name] = addition
        failure = await self._sync()
        self._unsynced.pop(name, None)
        if failure is None:
            self._add(name, addition)
        elif not self._crashed:
            self._add(name, addition[: len(addition) // 2])
        return failure

    async def replace(self, name, document):
        if self._medium.full:
            return disk_full('no space')
        failure = await self._sync()
        if failure is None:
            self._medium.files[name] = document
        return failure

    async def truncate(self, name, length):
        self._medium.files[name] = self._medium.files[name][:length]

    async def remove(self, name):
        failure = await self._sync()
        if failure is None:
            self._medium.files.pop(name, None)
        return failure

    async def _sync(self) -> Failure | None:
        await trio.sleep(BASE_SYNC_MS * self._random.uniform(0.5, 2) / 1000)
        if not self._crashed:
            await self._gate.wait_open()
        if self._crashed:
            return storage_failed('the process ended during the write')
        if self._medium.fail_sync:
            self._medium.fail_sync = False
            return storage_failed('injected sync failure')
        return None

    def _add(self, name, addition):
        existing = self._medium.files.get(name, b'')
        self._medium.files[name] = existing + addition


class Network:
    """Network that can delay, lose, duplicate or block messages.

    ``loss_rate`` and ``duplicate_rate`` are probabilities for each message.
    ``blocked`` holds pairs of sender and receiver.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.processes: dict[str, FakeProcess] = {}
        self.blocked: set[tuple[str, str]] = set()
        self.loss_rate = 0
        self.duplicate_rate = 0
        self.delay_ms = (0.2, 1.5)

    def isolate(self, name, *, inbound=True, outbound=True):
        """Drop all messages to a process, from it, or both."""
        for other in (*self.processes, 'client'):
            if inbound:
                self.blocked.add((other, name))
            if outbound:
                self.blocked.add((name, other))

    def heal(self):
        self.blocked.clear()
        self.loss_rate = 0
        self.duplicate_rate = 0

    async def transmit(self, sender, receiver):
        """Wait for the delay of a message; for ever when it is lost."""
        await trio.sleep(self.random.uniform(*self.delay_ms) / 1000)
        lost = self.random.random() < self.loss_rate
        if lost or (sender, receiver) in self.blocked:
            await trio.sleep_forever()


class FakePeer:
    """Link from a process or a client to a process."""

    def __init__(self, network, sender, receiver, gate=None):
        self._network = network
        self._sender = sender
        self._receiver = receiver
        self._gate = gate or Gate()

    async def call(self, request, timeout_ms):
        with trio.move_on_after(timeout_ms / 1000):
            return await self._call(request)
        await self._gate.wait_open()
        return Failure(FailureReason.TIMEOUT, self._receiver)

    async def close(self):
        """Do nothing, since there is no connection to close."""

    async def _call(self, request):
        await self._gate.wait_open()
        await self._network.transmit(self._sender, self._receiver)
        process = self._network.processes[self._receiver]
        if not process.alive:
            return Failure(FailureReason.LINK_BROKEN, self._receiver)
        if self._network.random.random() < self._network.duplicate_rate:
            process.submit(request, self._network.random.uniform(0, 300))
        reply = await process.submit(request, 0).receive()
        await self._network.transmit(self._receiver, self._sender)
        await self._gate.wait_open()
        return reply


class FakeCalls:
    """Calls from a process to the others; their addresses are their ids."""

    def __init__(self, network, sender, gate):
        self._network = network
        self._sender = sender
        self._gate = gate

    async def call(self, address, request, timeout_ms):
        peer = FakePeer(self._network, self._sender, address, self._gate)
        return await peer.call(request, timeout_ms)


class FakeProcess:
    """A control process that can be killed, frozen and restarted."""

    def __init__(self, network, nursery, voter_id, voters, medium):
        self._network = network
        self._nursery = nursery
        self.voter_id = voter_id
        self._voters = voters
        self.medium = medium
        self.learner = False
        self.skew_ms = 0
        self.snapshot_entries = 60
        self.alive = False
        self.ended_by: Failure | None = None
        self.gate = Gate()
        self._scope = trio.CancelScope()
        network.processes[voter_id] = self

    async def start(self):
        """Start a new process on the contents of the medium."""
        self.ended_by = None
        self.gate = Gate()
        self._scope = trio.CancelScope()
        clock = FakeClock(self.gate, self.skew_ms)
        source = random.Random(self._network.random.random())
        self._disk = FakeDisk(self.medium, self.gate, source)
        self.node = Node(self._options(clock, source), self._disk)
        leases = LeaseTable(self._settings(), self.node, clock, EventLog())
        reader = Reader(self.node, leases, clock)
        self._router = RequestRouter(self.node, leases, reader)
        calls = FakeCalls(self._network, self.voter_id, self.gate)
        self.manifests = ManifestStore(self.node, calls, EventLog())
        await self._nursery.start(self._run, leases)

    def kill(self):
        """End the process at once."""
        if self.alive:
            self.alive = False
            self._disk.crash()
            self.gate.thaw()
            self._scope.cancel()

    def submit(self, request, delay_ms):
        """Serve a request after a delay; return the channel of the reply.

        The process serves the request even if the caller has given up.
        """
        sender, receiver = trio.open_memory_channel(1)
        self._nursery.start_soon(
            self._serve, request, delay_ms, sender, self._scope
        )
        return receiver

    async def _run(self, leases, task_status):
        scope, disk = self._scope, self._disk
        try:
            with scope:
                await self.node.open()
                # Requests are accepted only after the disk has been read.
                self.alive = True
                task_status.started()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(leases.run)
                    nursery.start_soon(self._run_node, nursery)
        except StorageError as error:
            self.ended_by = error.failure
            task_status.started()
        if scope is self._scope:
            self.alive = False
            disk.crash()

    async def _run_node(self, nursery):
        try:
            await self.node.run()
        except StorageError as error:
            self.ended_by = error.failure
            nursery.cancel_scope.cancel()

    async def _serve(self, request, delay_ms, sender, scope):
        await trio.sleep(delay_ms / 1000)
        await self.gate.wait_open()
        if scope is not self._scope or not self.alive:
            return
        reply = await self._answer(request)
        await self.gate.wait_open()
        if scope is self._scope and self.alive:
            sender.send_nowait(reply)

    async def _answer(self, request):
        if isinstance(request, ConsensusRequest):
            return await self.node.serve(request)
        if isinstance(request, ManifestRequest):
            return await self.manifests.serve(request)
        return await self._router.serve(request)

    def _settings(self):
        return ControlSettings(self.voter_id, '', '', '', ())

    def _options(self, clock, source):
        settings = self._settings()
        return NodeOptions(
            self.voter_id,
            tuple(
                Replica(voter, '127.0.0.1:1', voter, voter=True)
                for voter in self._voters
            ),
            self.learner,
            settings.election_timeout_ms,
            settings.append_interval_ms,
            settings.claim_retention_ms,
            settings.clock_skew_ms,
            self.snapshot_entries,
            clock,
            source,
            EventLog(),
            self._open_peer,
        )

    def _open_peer(self, replica):
        gate = self.gate
        return FakePeer(self._network, self.voter_id, replica.voter_id, gate)


class Cluster:
    """Control processes on one simulated network."""

    def __init__(self, nursery, voters=('a', 'b', 'c'), seed=0):
        self.network = Network(seed)
        self._nursery = nursery
        self._voters = voters
        for voter in voters:
            self.add(voter)

    def __getitem__(self, voter_id):
        return self.network.processes[voter_id]

    def __iter__(self) -> Iterator[FakeProcess]:
        return iter(self.network.processes.values())

    def add(self, voter_id, *, learner=False):
        """Add a process with an empty disk."""
        process = FakeProcess(
            self.network, self._nursery, voter_id, self._voters, Medium()
        )
        process.learner = learner
        return process

    async def start(self):
        for process in self:
            await process.start()

    def leader(self):
        """Return the process that leads, or ``None``."""
        for process in self:
            if process.alive and process.node.leader_term:
                return process
        return None

    async def wait_leader(self, *, other_than=None):
        """Wait for a leader, other than a given process, and return it."""
        while True:
            process = self.leader()
            if process is not None and process is not other_than:
                return process
            await trio.sleep(0.05)

    def peers(self):
        """Return the links of a client to all processes, by voter id."""
        return {
            name: FakePeer(self.network, 'client', name)
            for name in self.network.processes
        }
