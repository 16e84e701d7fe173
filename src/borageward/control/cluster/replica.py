"""A replica under one voter id, from its start until the id is retired."""

from __future__ import annotations

import random

import trio

from borageward.clock import Clock
from borageward.control.cluster.identity import ReplicaIdentity
from borageward.control.cluster.joining import Membership
from borageward.control.cluster.manifeststore import ManifestStore
from borageward.control.cluster.network import ReplicaNetwork
from borageward.control.cluster.options import ClusterOptions
from borageward.control.cluster.repair import VoterRepair
from borageward.control.consensus import Node, NodeOptions
from borageward.control.storage import Disk
from borageward.failures import Failure, FailureReason
from borageward.messages.discovery import JoinCluster, Joined
from borageward.telemetry import EventLog
from borageward.transport import parse_peer_address

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
        network: ReplicaNetwork,
        source: random.Random,
    ) -> None:
        """Create a replica that reaches the others over a network.

        ``source`` gives the random election timeouts.
        """
        self._network = network
        self._source = source
        self._node = Node(
            self._node_options(options, identity, clock, log),
            disk,
        )
        self._manifests = ManifestStore(self._node, network.calls, log)
        self._membership = Membership(
            options,
            self._node,
            identity.voter_id,
            network.calls,
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

    async def add_replica(self, request: JoinCluster) -> Joined | Failure:
        """Add a replica as a learner, or report that its id was retired.

        Returns ``NOT_LEADER``, with the address of the leader as its detail,
        or ``NO_QUORUM`` unless this replica leads, and another failure when
        the change cannot be committed.
        """
        invalid = _find_invalid(request.operator_address, request.address)
        if invalid is not None:
            return invalid
        if self._node.leader_term:
            return await self._repair.add_replica(request)
        leader = self._node.leader
        if leader is None:
            return Failure(
                FailureReason.NO_QUORUM,
                'no leader is known to this control replica',
            )
        return Failure(FailureReason.NOT_LEADER, leader.member_address)

    async def close(self) -> None:
        """Close the links to other replicas."""
        await self._network.close()
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
            source=self._source,
            log=log,
            open_peer=self._network.open_peer,
            rejoins_if_refused=True,
        )


def _find_invalid(*addresses: str) -> Failure | None:
    """Return the failure of the first address that is not one of a process.

    A committed replica with such an address would end every replica that opens
    a link to it, also after a restart.
    """
    for text in addresses:
        address = parse_peer_address(text)
        if isinstance(address, Failure):
            return address
    return None
