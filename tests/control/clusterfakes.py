"""Simulated control replicas that join, are replaced and renew their ids."""

from __future__ import annotations

import pathlib
import random

import trio

from borageward.control.cluster.options import ClusterOptions
from borageward.control.cluster.supervisor import ReplicaSupervisor
from borageward.control.storage import StorageError
from borageward.failures import Failure, FailureReason
from borageward.messages.base import Rejected
from borageward.messages.consensus import ConsensusRequest
from borageward.messages.discovery import JoinCluster
from borageward.messages.queues import (
    ManifestStored,
    NewestManifest,
    PublishManifest,
    ReadManifest,
)
from borageward.queues import QueueManifest, RequestLimits
from borageward.settings import ControlAddress
from borageward.telemetry import EventLog
from tests.control.fakes import (
    FakeCalls,
    FakeClock,
    FakeDisk,
    FakePeer,
    Gate,
    Medium,
    Network,
)

LIMITS = RequestLimits(1000, 1000, 1000, 1000)
CALL_MS = 1000
INITIAL_COUNT = 3


class FakeNetwork:
    """Connections of one process on the simulated network."""

    def __init__(self, network, address, gate):
        self._network = network
        self._address = address
        self._gate = gate
        self.calls = FakeCalls(network, address, gate)

    def open_peer(self, replica):
        return FakePeer(
            self._network, self._address, replica.member_address, self._gate
        )

    async def close(self):
        """Do nothing, since there are no connections to close."""


class ReplicaProcess:
    """Control process that can be frozen, killed, restarted and wiped."""

    def __init__(
        self, network, nursery, address, seeds, *, first_start, losses=1
    ):
        self._network = network
        self._nursery = nursery
        self._scope = trio.CancelScope()
        self._seeds = seeds
        self._losses = losses
        self.address = address
        self.first_start = first_start
        self.medium = Medium()
        self.gate = Gate()
        self.alive = False
        self.ended_by: Failure | None = None
        network.processes[address] = self

    @property
    def node(self):
        replica = self.supervisor.replica
        return None if replica is None else replica.node

    @property
    def voter_id(self):
        return '' if self.node is None else self.node.status().voter_id

    def start(self):
        """Start a new process on the contents of the medium."""
        self.ended_by = None
        self.gate = Gate()
        self._scope = trio.CancelScope()
        source = random.Random(self._network.random.random())
        self._disk = FakeDisk(self.medium, self.gate, source)
        gate = self.gate
        self.supervisor = ReplicaSupervisor(
            self._options(),
            self._disk,
            FakeClock(gate),
            EventLog(),
            lambda _nursery: FakeNetwork(self._network, self.address, gate),
            source,
        )
        self.alive = True
        self._nursery.start_soon(self._run, self._scope)

    def kill(self):
        """End the process at once."""
        if self.alive:
            self.alive = False
            self._disk.crash()
            self.gate.thaw()
            self._scope.cancel()

    def wipe(self):
        """End the process and lose its disk."""
        self.kill()
        self.medium = Medium()

    def submit(self, request, delay_ms):
        """Serve a request after a delay; return the channel of the reply."""
        sender, receiver = trio.open_memory_channel(1)
        self._nursery.start_soon(
            self._serve, request, delay_ms, sender, self._scope
        )
        return receiver

    async def answer(self, request):
        """Return the reply of the running replica."""
        replica = self.supervisor.replica
        if replica is None:
            return Rejected(FailureReason.NO_QUORUM, 'starting')
        if isinstance(request, ConsensusRequest):
            return await replica.node.serve(request)
        if isinstance(request, JoinCluster):
            return await replica.add_replica(request)
        return await replica.manifests.serve(request)

    async def _run(self, scope):
        try:
            with scope:
                await self.supervisor.run()
        except* StorageError as group:
            error = group.exceptions[0]
            while isinstance(error, ExceptionGroup):
                error = error.exceptions[0]
            self.ended_by = error.failure
        if scope is self._scope:
            self.alive = False

    async def _serve(self, request, delay_ms, sender, scope):
        await trio.sleep(delay_ms / 1000)
        await self.gate.wait_open()
        if scope is not self._scope or not self.alive:
            return
        reply = await self.answer(request)
        await self.gate.wait_open()
        if scope is self._scope and self.alive:
            sender.send_nowait(reply)

    def _options(self):
        return ClusterOptions(
            self.address,
            self.address,
            tuple(ControlAddress(seed, seed) for seed in self._seeds),
            self.first_start,
            self._losses,
            pathlib.Path(),
        )


class ReplicaCluster:
    """Processes of one cluster; the first three are its initial voters."""

    def __init__(self, nursery, *, count, seed, losses=1):
        self.network = Network(seed)
        self._nursery = nursery
        self.addresses = [f'10.0.0.{number}:7' for number in range(count)]
        seeds = self.addresses[:INITIAL_COUNT]
        for address in self.addresses:
            process = ReplicaProcess(
                self.network,
                nursery,
                address,
                seeds,
                first_start=address in seeds,
                losses=losses,
            )
            process.start()

    def __getitem__(self, number):
        return self.network.processes[self.addresses[number]]

    def __iter__(self):
        return iter(self.network.processes.values())

    def leaders(self):
        """Return the processes that consider themselves the leader."""
        return [
            process
            for process in self
            if process.alive and process.node and process.node.leader_term
        ]

    def voters(self):
        """Return the ids of the voters, as the leader with most entries."""
        nodes = [process.node for process in self.leaders()]
        newest = max(nodes, key=lambda node: node.log.last_index)
        return newest.status().voters


class Operator:
    """Publishes manifests and reads them at every process.

    ``old_reads`` lists the replies that were older than an acknowledged
    manifest.
    """

    def __init__(self, cluster):
        self._cluster = cluster
        self.version = 0
        self.acknowledged = 0
        self.old_reads = []

    async def publish(self, first=0):
        """Publish the next manifest; return whether it was acknowledged.

        Asks the processes in turn, from that with the number ``first`` on.
        """
        self.version += 1
        manifest = QueueManifest(self.version, (), (), LIMITS, b'{}')
        addresses = self._cluster.addresses
        for address in (*addresses[first:], *addresses[:first]):
            reply = await self._call(address, PublishManifest(manifest))
            if reply == ManifestStored(self.version):
                self.acknowledged = self.version
                return True
        return False

    async def publish_until_acknowledged(self, timeout_s=30):
        """Publish manifests until one is acknowledged."""
        with trio.fail_after(timeout_s):
            while not await self.publish():
                await trio.sleep(0.1)

    async def read(self):
        """Read the manifest at every process and note what is too old."""
        due = self.acknowledged
        async with trio.open_nursery() as nursery:
            for address in self._cluster.addresses:
                nursery.start_soon(self._read_at, address, due)

    async def _read_at(self, address, due):
        reply = await self._call(address, ReadManifest())
        if not isinstance(reply, NewestManifest):
            return
        version = 0 if reply.manifest is None else reply.manifest.version
        if version < due:
            self.old_reads.append((address, version, due))

    async def _call(self, address, request):
        peer = FakePeer(self._cluster.network, 'client', address)
        return await peer.call(request, CALL_MS)
