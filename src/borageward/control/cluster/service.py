"""A control replica that keeps the newest manifest and the live guards."""

from __future__ import annotations

import random
from typing import TypeAlias

import trio

from borageward.clock import Clock
from borageward.control.cluster.cancellations import RecentCancellations
from borageward.control.cluster.network import FrameNetwork
from borageward.control.cluster.options import ClusterOptions
from borageward.control.cluster.registry import GuardRegistry
from borageward.control.cluster.replica import ClusterReplica
from borageward.control.cluster.supervisor import ReplicaSupervisor
from borageward.control.storage import Disk
from borageward.failures import Failure, FailureReason
from borageward.messages.base import Rejected
from borageward.messages.consensus import ConsensusReply, ConsensusRequest
from borageward.messages.discovery import (
    AnnounceGuard,
    Announced,
    ClusterView,
    DiscoveryRequest,
    FetchView,
    Joined,
)
from borageward.messages.queues import (
    ManifestReply,
    ManifestRequest,
    ManifestStored,
)
from borageward.queues import QueueManifest
from borageward.telemetry import EventLog
from borageward.transport import (
    Address,
    FrameRpcServer,
    parse_address,
)

_ClusterRequest: TypeAlias = (
    ConsensusRequest | DiscoveryRequest | ManifestRequest
)
_ClusterReply: TypeAlias = (
    ConsensusReply | Announced | ClusterView | Joined | ManifestReply
)


class ClusterService:
    """Serves other replicas, guards and entries over frames.

    Operators' calls arrive through ``publish`` and ``newest``.
    """

    def __init__(
        self,
        options: ClusterOptions,
        disk: Disk,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Create a service whose replica keeps its files on a disk.

        Raises ``ValueError`` for an invalid address in the options.
        """
        self._registry = GuardRegistry(clock, log, random.Random())
        self._cancellations = RecentCancellations(clock, random.Random())
        self._supervisor = ReplicaSupervisor(
            options,
            disk,
            clock,
            log,
            FrameNetwork,
            random.Random(),
        )
        self._server = FrameRpcServer(
            _address(options.address),
            self._serve,
            _ClusterRequest,
        )
        self._scope = trio.CancelScope()

    @property
    def leader_address(self) -> str:
        """Return the operators' address of the leader, or an empty text."""
        replica = self._supervisor.replica
        leader = None if replica is None else replica.node.leader
        return '' if leader is None else leader.address

    async def start(self, nursery: trio.Nursery) -> None:
        """Serve in the nursery.

        Raises ``OSError`` when the address is in use. Raises ``StorageError``
        in the nursery when the disk failed or its files are inconsistent.
        """
        await self._server.start(nursery)
        nursery.start_soon(self._run)

    async def close(self) -> None:
        """Stop the replica and the server."""
        self._scope.cancel()
        await self._server.close()

    async def publish(
        self,
        manifest: QueueManifest,
        timeout_ms: float,
    ) -> ManifestStored | Failure:
        """Store a manifest on a majority of the control replicas.

        A version that is not above the stored one changes nothing. After the
        failures ``TIMEOUT`` and ``NO_QUORUM`` the manifest may still be stored.
        """
        replica = self._supervisor.replica
        if replica is None:
            return _starting_failure()
        return await replica.manifests.publish(manifest, timeout_ms)

    async def newest(self, timeout_ms: float) -> QueueManifest | Failure | None:
        """Return the newest manifest, or ``None`` when none is stored.

        Returns a failure when no majority confirms the leader in time.
        """
        replica = self._supervisor.replica
        if replica is None:
            return _starting_failure()
        return await replica.manifests.newest(timeout_ms)

    async def _run(self) -> None:
        with self._scope:
            await self._supervisor.run()

    async def _serve(self, request: _ClusterRequest) -> _ClusterReply:
        replica = self._supervisor.replica
        if replica is None:
            return Rejected.of(_starting_failure())
        if isinstance(request, FetchView):
            return self._cluster_view(replica, request)
        if isinstance(request, AnnounceGuard):
            return self._announce(replica, request)
        if isinstance(request, ManifestRequest):
            reply = await replica.manifests.serve(request)
            return Rejected.of(reply) if isinstance(reply, Failure) else reply
        if isinstance(request, ConsensusRequest):
            return await replica.node.serve(request)
        joined = await replica.add_replica(request)
        return Rejected.of(joined) if isinstance(joined, Failure) else joined

    def _announce(
        self,
        replica: ClusterReplica,
        request: AnnounceGuard,
    ) -> _ClusterReply:
        problem = self._registry.announce(request.guard)
        if problem:
            return Rejected(FailureReason.INVALID_REQUEST, problem)
        return Announced(_replica_addresses(replica))

    def _cluster_view(
        self,
        replica: ClusterReplica,
        request: FetchView,
    ) -> ClusterView:
        manifest = replica.node.machine.manifests.newest
        if manifest and manifest.version <= request.manifest_version:
            manifest = None
        version = self._registry.version()
        known = version == request.guards_version
        self._cancellations.add(request.reports)
        return ClusterView(
            manifest,
            version,
            None if known else self._registry.live(),
            _replica_addresses(replica),
            self._cancellations.version,
            self._cancellations.since(request.cancellations_version),
        )


def _replica_addresses(replica: ClusterReplica) -> tuple[str, ...]:
    replicas = replica.node.log.replicas.replicas
    return tuple(member.member_address for member in replicas)


def _starting_failure() -> Failure:
    return Failure(
        FailureReason.NO_QUORUM,
        'this control replica is still starting',
    )


def _address(text: str) -> Address:
    address = parse_address(text)
    if isinstance(address, Failure):
        raise ValueError(address.detail)
    return address
