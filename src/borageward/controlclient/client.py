"""Finds the leader among the control replicas and calls it."""

from __future__ import annotations

import random
from collections.abc import Mapping

from borageward.clock import Clock, Milliseconds
from borageward.failures import Failure, FailureReason
from borageward.messages.base import Rejected
from borageward.messages.control import ControlReply, ControlRequest
from borageward.transport.peer import Peer

# One attempt is short, so that a frozen leader does not use up the timeout.
_ATTEMPT_TIMEOUT_MS = 700.0
_RETRY_DELAY_MIN_MS = 10.0
_RETRY_DELAY_MAX_MS = 50.0
_RETRIED = frozenset(
    (
        FailureReason.NOT_LEADER,
        FailureReason.NO_QUORUM,
        FailureReason.TIMEOUT,
        FailureReason.LINK_BROKEN,
        # Another replica may have room on its disk and become the leader.
        FailureReason.DISK_FULL,
    )
)


class ControlClient:
    """Calls the leader, and tries the other replicas when it fails.

    Every control request may be repeated without effect: registrations carry
    a nonce, changes a command id, claims and outcomes their job id.
    """

    def __init__(
        self,
        peers: Mapping[str, Peer],
        clock: Clock,
        source: random.Random,
    ) -> None:
        """Prepare a client of replicas named by their address."""
        self._peers = dict(peers)
        self._clock = clock
        self._random = source
        self._order = list(self._peers)

    async def call(
        self,
        request: ControlRequest,
        timeout_ms: Milliseconds,
    ) -> ControlReply | Failure:
        """Return the reply of the leader.

        Returns a failure as a value: the last one seen when the timeout ends,
        or the reason of a rejected request.
        """
        deadline = self._clock.now_ms() + timeout_ms
        failure = Failure(FailureReason.NO_QUORUM, 'no control replica tried')
        while True:
            remaining = deadline - self._clock.now_ms()
            if remaining <= 0:
                return failure
            reply = await self._attempt(request, remaining)
            if not isinstance(reply, Failure):
                return reply
            if reply.reason not in _RETRIED:
                return reply
            failure = reply
            await self._pause(failure)

    async def close(self) -> None:
        """Close the links to all replicas."""
        for peer in self._peers.values():
            await peer.close()

    async def _attempt(
        self,
        request: ControlRequest,
        remaining: Milliseconds,
    ) -> ControlReply | Failure:
        address = self._order[0]
        timeout = min(remaining, _ATTEMPT_TIMEOUT_MS)
        reply = await self._peers[address].call(request, timeout)
        if isinstance(reply, Rejected):
            reply = reply.failure()
        if isinstance(reply, Failure) and reply.reason in _RETRIED:
            self._demote(address, reply)
        return reply

    def _demote(self, address: str, failure: Failure) -> None:
        if self._order[0] != address:
            return
        self._order.append(self._order.pop(0))
        if failure.reason is not FailureReason.NOT_LEADER:
            return
        leader = failure.detail
        if leader in self._peers:
            self._order.remove(leader)
            self._order.insert(0, leader)

    async def _pause(self, failure: Failure) -> None:
        if failure.reason is FailureReason.NOT_LEADER and failure.detail:
            return
        delay = self._random.uniform(_RETRY_DELAY_MIN_MS, _RETRY_DELAY_MAX_MS)
        await self._clock.sleep_ms(delay)
