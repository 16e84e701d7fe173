"""Network links to the other replicas."""

from __future__ import annotations

from typing import Any

import msgspec

from borageward.clock import Milliseconds
from borageward.control.consensus.options import PeerFactory
from borageward.control.consensus.log import ReplicatedLog
from borageward.control.consensus.replicas import find_replica
from borageward.failures import Failure, FailureReason
from borageward.messages.base import Rejected
from borageward.messages.consensus import AddressedRequest
from borageward.transport import Peer


class PeerLinks:
    """Links to the replicas of the log, each opened on first use."""

    def __init__(self, log: ReplicatedLog, open_peer: PeerFactory) -> None:
        """Use the addresses of the newest replica set in the log."""
        self._log = log
        self._open_peer = open_peer
        self._peers: dict[str, Peer] = {}

    async def call(
        self,
        voter_id: str,
        request: Any,
        timeout_ms: Milliseconds,
    ) -> Any | Failure:
        """Send a request to a replica, as its recipient; return its reply.

        Returns a failure when the replica rejects the request, cannot be
        reached, does not reply within ``timeout_ms`` or is not in the log.
        """
        peer = self._peer(voter_id)
        if peer is None:
            return Failure(
                FailureReason.LINK_BROKEN,
                f'{voter_id} is not in the replica set',
            )
        if isinstance(request, AddressedRequest):
            request = msgspec.structs.replace(request, recipient=voter_id)
        reply = await peer.call(request, timeout_ms)
        return reply.failure() if isinstance(reply, Rejected) else reply

    async def close(self) -> None:
        """Close all links."""
        peers = list(self._peers.values())
        self._peers.clear()
        for peer in peers:
            await peer.close()

    def _peer(self, voter_id: str) -> Peer | None:
        peer = self._peers.get(voter_id)
        if peer is not None:
            return peer
        replica = find_replica(self._log.replicas.replicas, voter_id)
        if replica is None:
            return None
        peer = self._open_peer(replica)
        self._peers[voter_id] = peer
        return peer
