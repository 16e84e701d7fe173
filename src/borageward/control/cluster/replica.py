"""A replica under one voter id, from its start until the id is retired."""

from __future__ import annotations

import random

import trio

from borageward.clock import Clock
from borageward.control.cluster.identity import ReplicaIdentity
from borageward.control.cluster.joining import Membership
from borageward.control.cluster.manifeststore import ManifestStore
from borageward.control.cluster.options import ClusterOptions
from borageward.discovery import ReplicaCalls
from borageward.control.cluster.repair import VoterRepair
from borageward.control.consensus import Node, NodeOptions
from borageward.control.storage import Disk
from borageward.failures import Failure
from borageward.messages.consensus import ConsensusReply, Replica
from borageward.telemetry import EventLog
from borageward.transport import FramePeer, Peer, parse_address

# Only the newest manifest is ever read, so a short log before each snapshot is
# enough.
_SNAPSHOT_ENTRIES = 256
_CLAIM_RETENTION_MS = 600_000
_CLOCK_SKEW_MS = 30_000


class ClusterReplica:
    """A node of the control log with its membership and voter repair."""

    def __init__(
        self,
        options: ClusterOptions,
        identity: ReplicaIdentity,
        disk: Disk,
        clock: Clock,
        log: EventLog,
        nursery: trio.Nursery,
    ) -> None:
        """Create a replica whose links to others run in the nursery."""
        self._nursery = nursery
        self._node = Node(
            self._node_options(options, identity, clock, log),
            disk,
        )
        self._calls = ReplicaCalls(nursery)
        self._manifests = ManifestStore(self._node, self._calls, log)
        self._membership = Membership(
            options,
            self._node,
            identity.voter_id,
            self._calls,
            clock,
            log,
        )
        self._repair = VoterRepair(options, self._node, clock, log)

    @property
    def node(self) -> Node:
        """Return the node of the control log."""
        return self._node

    @property
    def manifests(self) -> ManifestStore:
        """Return the access to the manifest through this replica."""
        return self._manifests

    @property
    def repair(self) -> VoterRepair:
        """Return the repair that adds and replaces replicas."""
        return self._repair

    async def run(self) -> None:
        """Take part in the cluster until the id is retired.

        Raises ``StorageError`` when the disk failed or its files are
        inconsistent.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._node.run)
            nursery.start_soon(self._repair.run)
            await self._membership.wait_until_retired()
            nursery.cancel_scope.cancel()

    async def close(self) -> None:
        """Close the links to other replicas."""
        await self._calls.close()
        await self._node.close()

    def _node_options(
        self,
        options: ClusterOptions,
        identity: ReplicaIdentity,
        clock: Clock,
        log: EventLog,
    ) -> NodeOptions:
        return NodeOptions(
            voter_id=identity.voter_id,
            initial=identity.initial,
            join_as_learner=not identity.is_initial,
            election_timeout_ms=options.election_timeout_ms,
            append_interval_ms=options.append_interval_ms,
            claim_retention_ms=_CLAIM_RETENTION_MS,
            clock_skew_ms=_CLOCK_SKEW_MS,
            snapshot_entries=_SNAPSHOT_ENTRIES,
            clock=clock,
            source=random.Random(),
            log=log,
            open_peer=self._open_peer,
            disk_bound_ids=True,
        )

    def _open_peer(self, replica: Replica) -> Peer:
        address = parse_address(replica.member_address)
        if isinstance(address, Failure):
            raise ValueError(address.detail)
        return FramePeer(address, ConsensusReply, self._nursery)
