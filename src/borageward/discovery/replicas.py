"""Calls to control replicas by address."""

from __future__ import annotations

from typing import Any, Protocol, TypeAlias

import trio

from borageward.clock import Milliseconds
from borageward.failures import Failure, FailureReason
from borageward.messages.base import Rejected
from borageward.messages.discovery import DiscoveryReply
from borageward.messages.queues import ManifestReply
from borageward.transport import FramePeer, parse_peer_address

_Reply: TypeAlias = DiscoveryReply | ManifestReply


class ReplicaCaller(Protocol):
    """Interface for calls to control replicas by address."""

    async def call(
        self,
        address: str,
        request: Any,
        timeout_ms: Milliseconds,
    ) -> Any | Failure:
        """Return the reply of the replica at an address, or a failure.

        After ``TIMEOUT`` or ``LINK_BROKEN`` the request may have taken effect.
        """


class ReplicaCalls:
    """Calls control replicas over one connection for each address.

    A connection is opened by the first call and used for later ones.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        """Use the nursery for the tasks that read from connections."""
        self._nursery = nursery
        self._peers: dict[str, FramePeer] = {}
        self._closed = False

    async def call(
        self,
        address: str,
        request: Any,
        timeout_ms: Milliseconds,
    ) -> Any | Failure:
        """Return the reply of the replica at an address, or a failure.

        Returns ``TIMEOUT`` or ``LINK_BROKEN``, after which the request may
        have taken effect, the failure of a rejected request, or that of an
        invalid address.
        """
        peer = self._peer(address)
        if isinstance(peer, Failure):
            return peer
        reply = await peer.call(request, timeout_ms)
        return reply.failure() if isinstance(reply, Rejected) else reply

    async def close(self) -> None:
        """Close all connections; later calls return ``LINK_BROKEN``."""
        self._closed = True
        for peer in self._peers.values():
            await peer.close()

    def _peer(self, address: str) -> FramePeer | Failure:
        if self._closed:
            return Failure(
                FailureReason.LINK_BROKEN,
                'the connections to the control replicas are closed',
            )
        peer = self._peers.get(address)
        if peer is not None:
            return peer
        parsed = parse_peer_address(address)
        if isinstance(parsed, Failure):
            return parsed
        peer = FramePeer(parsed, _Reply, self._nursery)
        self._peers[address] = peer
        return peer
