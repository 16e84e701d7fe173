"""Forwards requests to other entries."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import trio

from borageward.clock import Milliseconds
from borageward.entry.answers import Answer
from borageward.entry.directory import Directory
from borageward.failures import Failure, FailureReason
from borageward.messages.base import Rejected
from borageward.messages.control import ClaimAnswer
from borageward.messages.entry import EntryRequest, JobAnswer
from borageward.transport import Peer

PeerFactory = Callable[[str], Peer]

_MAX_PEERS = 64


class EntryPeers:
    """Forwards requests to the entry that owns a claim.

    Keeps links to the ``_MAX_PEERS`` entries used last.
    """

    def __init__(self, open_peer: PeerFactory, directory: Directory) -> None:
        """Prepare without links; ``open_peer`` opens one by its address."""
        self._open_peer = open_peer
        self._directory = directory
        self._peers: OrderedDict[str, Peer] = OrderedDict()

    async def call_owner(
        self,
        claim: ClaimAnswer,
        request: EntryRequest,
        timeout_ms: Milliseconds,
    ) -> Answer | Failure:
        """Send a request to the owner of a claim and return its answer.

        Returns a failure when the owner rejects the request or does not
        answer; without an answer the request may have taken effect.
        ``LINK_BROKEN`` is returned as soon as the membership shows that the
        owner has ended.
        """
        replies: list[Answer | Failure] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_when_ended, claim, nursery)
            replies.append(await self._call(claim, request, timeout_ms))
            nursery.cancel_scope.cancel()
        if replies:
            return replies[0]
        return Failure(
            FailureReason.LINK_BROKEN,
            'the owner of the job has ended',
        )

    async def close(self) -> None:
        """Close the links to all entries."""
        for peer in self._peers.values():
            await peer.close()

    async def _cancel_when_ended(
        self,
        claim: ClaimAnswer,
        nursery: trio.Nursery,
    ) -> None:
        await self._directory.wait_entry_ended(claim.owner)
        nursery.cancel_scope.cancel()

    async def _call(
        self,
        claim: ClaimAnswer,
        request: EntryRequest,
        timeout_ms: Milliseconds,
    ) -> Answer | Failure:
        peer = await self._get_peer(claim.owner_address)
        reply = await peer.call(request, timeout_ms)
        if isinstance(reply, JobAnswer):
            return Answer(reply.status, reply.body, reply.retry_after_s)
        if isinstance(reply, Rejected):
            return reply.failure()
        if isinstance(reply, Failure):
            return reply
        return Failure(FailureReason.MALFORMED_MESSAGE)

    async def _get_peer(self, address: str) -> Peer:
        peer = self._peers.get(address)
        if peer is None:
            peer = self._open_peer(address)
            self._peers[address] = peer
        self._peers.move_to_end(address)
        if len(self._peers) > _MAX_PEERS:
            _address, oldest = self._peers.popitem(last=False)
            await oldest.close()
        return peer
