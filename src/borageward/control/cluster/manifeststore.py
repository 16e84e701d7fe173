"""Storing and reading the manifest at any control replica.

Only the leader can do either. A follower calls the leader itself and does not
redirect the operator: a redirect is a second exchange, and while the former
leader is frozen or answers are lost on their way, each further exchange can
cost the operator a second.
"""

from __future__ import annotations

from typing import Any

import trio

from borageward.clock import Milliseconds
from borageward.control.consensus import Node
from borageward.discovery import ReplicaCaller
from borageward.failures import Failure, FailureReason
from borageward.messages.base import Rejected
from borageward.messages.queues import (
    ManifestReply,
    ManifestRequest,
    ManifestStored,
    NewestManifest,
    PublishManifest,
    ReadManifest,
)
from borageward.queues import QueueManifest
from borageward.telemetry import EventLog

_MS_PER_SECOND = 1000.0


class ManifestStore:
    """Access to the manifest through one control replica."""

    def __init__(self, node: Node, calls: ReplicaCaller, log: EventLog) -> None:
        """Use a replica's node and its calls to the other replicas."""
        self._node = node
        self._calls = calls
        self._log = log

    async def publish(
        self,
        manifest: QueueManifest,
        timeout_ms: Milliseconds,
    ) -> ManifestStored | Failure:
        """Store a manifest on a majority of the control replicas.

        A version that is not above the stored one changes nothing. After the
        failures ``TIMEOUT`` and ``NO_QUORUM`` the manifest may still be stored.
        """
        reply = await self._ask(PublishManifest(manifest), timeout_ms)
        if isinstance(reply, ManifestStored | Failure):
            return reply
        return _unexpected(reply)

    async def newest(
        self,
        timeout_ms: Milliseconds,
    ) -> QueueManifest | Failure | None:
        """Return the newest manifest, or ``None`` when none is stored.

        Returns a failure when no majority confirms the leader in time.
        """
        reply = await self._ask(ReadManifest(), timeout_ms)
        if isinstance(reply, NewestManifest):
            return reply.manifest
        return reply if isinstance(reply, Failure) else _unexpected(reply)

    async def serve(self, request: ManifestRequest) -> ManifestReply | Failure:
        """Carry out a request; ``NOT_LEADER`` unless this replica leads."""
        if isinstance(request, PublishManifest):
            reply = await self._node.propose(request)
            if isinstance(reply, ManifestStored | Failure):
                return reply
            return _unexpected(reply)
        failure = await self._node.confirm_leadership()
        if failure is not None:
            return failure
        return NewestManifest(self._node.machine.manifests.newest)

    async def _ask(
        self,
        request: ManifestRequest,
        timeout_ms: Milliseconds,
    ) -> Any | Failure:
        with trio.move_on_after(timeout_ms / _MS_PER_SECOND):
            reply = await self.serve(request)
            if not _is_follower(reply):
                return reply
            return await self._forward(request, reply, timeout_ms)
        return Failure(
            FailureReason.TIMEOUT,
            'the control leader did not answer in time',
        )

    async def _forward(
        self,
        request: ManifestRequest,
        not_leader: Any,
        timeout_ms: Milliseconds,
    ) -> Any | Failure:
        """Call the leader; return ``not_leader`` if it cannot be called."""
        leader = self._node.leader
        if leader is None:
            return not_leader
        reply = await self._calls.call(
            leader.member_address,
            request,
            timeout_ms,
        )
        failed = isinstance(reply, Failure)
        self._log.event(
            'manifest_call_forwarded',
            call=type(request).__name__,
            leader=leader.member_address,
            outcome=reply.reason.value if failed else 'answered',
        )
        if failed and reply.reason is FailureReason.LINK_BROKEN:
            return not_leader
        return reply


def _is_follower(reply: object) -> bool:
    if isinstance(reply, Failure):
        return reply.reason is FailureReason.NOT_LEADER
    return False


def _unexpected(reply: object) -> Failure:
    if isinstance(reply, Rejected):
        return reply.failure()
    return Failure(
        FailureReason.MALFORMED_MESSAGE,
        f'unexpected reply {type(reply).__name__} to a call for the manifest',
    )
