"""Client that finds the leader among the control replicas."""

from __future__ import annotations

import random
from collections.abc import Mapping

from borageward.clock import Clock, Milliseconds
from borageward.failures import Failure, FailureReason
from borageward.messages.base import Rejected
from borageward.messages.control import ControlReply, ControlRequest
from borageward.transport.peer import Peer

# An attempt is shorter than the usual timeout of a call, so that a suspended
# leader leaves time for calls to the other replicas.
_ATTEMPT_TIMEOUT_MS = 700.0
_RETRY_DELAY_MIN_MS = 10.0
_RETRY_DELAY_MAX_MS = 50.0
_RETRIED_REASONS = frozenset(
    (
        FailureReason.NOT_LEADER,
        FailureReason.NO_QUORUM,
        FailureReason.TIMEOUT,
        FailureReason.LINK_BROKEN,
        # Another replica may have free disk space and become the leader.
        FailureReason.DISK_FULL,
    )
)


class ControlClient:
    """Calls the leader, and the other replicas when it does not answer.

    Control requests are retried, because all of them are idempotent:
    registrations carry a nonce, changes carry a command id, and claims and
    outcomes carry their job id.
    """

    def __init__(
        self,
        peers: Mapping[str, Peer],
        clock: Clock,
        source: random.Random,
    ) -> None:
        """Create a client of replicas, given by address."""
        self._peers = dict(peers)
        self._clock = clock
        self._random = source
        self._order = list(self._peers)

    async def call(
        self,
        request: ControlRequest,
        timeout_ms: Milliseconds,
    ) -> ControlReply | Failure:
        """Return the reply of the leader, or a failure.

        The failure is that of the last attempt when the timeout has passed, or
        the reason why the leader rejected the request.
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        failure = Failure(
            FailureReason.NO_QUORUM,
            'the timeout passed before a control replica was called',
        )
        while True:
            remaining_ms = deadline_ms - self._clock.now_ms()
            if remaining_ms <= 0:
                return failure
            reply = await self._attempt(request, remaining_ms)
            if not isinstance(reply, Failure):
                return reply
            if reply.reason not in _RETRIED_REASONS:
                return reply
            failure = reply
            await self._wait_before_retry(failure)

    async def close(self) -> None:
        """Close the links to all replicas."""
        for peer in self._peers.values():
            await peer.close()

    async def _attempt(
        self,
        request: ControlRequest,
        remaining_ms: Milliseconds,
    ) -> ControlReply | Failure:
        address = self._order[0]
        attempt_timeout_ms = min(remaining_ms, _ATTEMPT_TIMEOUT_MS)
        reply = await self._peers[address].call(request, attempt_timeout_ms)
        if isinstance(reply, Rejected):
            reply = reply.failure()
        if isinstance(reply, Failure) and reply.reason in _RETRIED_REASONS:
            self._demote(address, reply)
        return reply

    def _demote(self, address: str, failure: Failure) -> None:
        """Try a replica last, and the leader that it named first."""
        if self._order[0] != address:
            return
        self._order.append(self._order.pop(0))
        if failure.reason is not FailureReason.NOT_LEADER:
            return
        leader = failure.detail
        if leader in self._peers:
            self._order.remove(leader)
            self._order.insert(0, leader)

    async def _wait_before_retry(self, failure: Failure) -> None:
        """Sleep for a random time, unless the reply named the leader."""
        if failure.reason is FailureReason.NOT_LEADER and failure.detail:
            return
        delay_ms = self._random.uniform(
            _RETRY_DELAY_MIN_MS,
            _RETRY_DELAY_MAX_MS,
        )
        await self._clock.sleep_ms(delay_ms)
