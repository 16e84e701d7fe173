"""Connections from a control replica to the others."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeAlias

import trio

from borageward.discovery import ReplicaCaller, ReplicaCalls
from borageward.failures import Failure
from borageward.messages.consensus import ConsensusReply, Replica
from borageward.transport import FramePeer, Peer, parse_address


class ReplicaNetwork(Protocol):
    """Interface for the connections of one replica."""

    @property
    def calls(self) -> ReplicaCaller:
        """Return the calls to replicas by address."""

    def open_peer(self, replica: Replica) -> Peer:
        """Open a link for consensus requests to another replica."""

    async def close(self) -> None:
        """Close the connections of the calls; links close by themselves."""


# Function that opens the connections of a replica, whose tasks run in the
# nursery.
NetworkFactory: TypeAlias = Callable[[trio.Nursery], ReplicaNetwork]


class FrameNetwork:
    """Connections that carry frames over TCP."""

    def __init__(self, nursery: trio.Nursery) -> None:
        """Use the nursery for the tasks of the connections."""
        self._nursery = nursery
        self._calls = ReplicaCalls(nursery)

    @property
    def calls(self) -> ReplicaCaller:
        """Return the calls to replicas by address."""
        return self._calls

    def open_peer(self, replica: Replica) -> Peer:
        """Open a link for consensus requests to another replica.

        Raises ``ValueError`` for a malformed address.
        """
        address = parse_address(replica.member_address)
        if isinstance(address, Failure):
            raise ValueError(address.detail)
        return FramePeer(address, ConsensusReply, self._nursery)

    async def close(self) -> None:
        """Close the connections of the calls."""
        await self._calls.close()
