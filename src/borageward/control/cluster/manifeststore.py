"""Storing and reading the manifest at any control replica.

Only the leader can do either. A follower calls the leader itself and does not
redirect the operator: a redirect is a second exchange, and while the former
leader is frozen or answers are lost on their way, each further exchange can
cost the operator a second. While the call waits, another leader may be elected;
the follower then turns to that one. Repeating a request is safe, since a
manifest that is stored already changes nothing.
"""

from __future__ import annotations

from typing import Any

import trio

from borageward.clock import Milliseconds
from borageward.control.consensus import Node
from borageward.discovery import ReplicaCaller
from borageward.failures import Failure, FailureReason
from borageward.messages.base import Rejected
from borageward.messages.consensus import Replica
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
            while _has_reason(reply, FailureReason.NOT_LEADER):
                forwarded = await self._forward(request, reply, timeout_ms)
                if forwarded is not None:
                    return forwarded
                reply = await self._serve_after_election(request)
            return reply
        return Failure(
            FailureReason.TIMEOUT,
            'the control leader did not answer in time',
        )

    async def _serve_after_election(
        self,
        request: ManifestRequest,
    ) -> ManifestReply | Failure:
        """Serve a request once this replica leads or knows the leader."""
        reply = await self.serve(request)
        while _has_reason(reply, FailureReason.NO_QUORUM):
            await self._node.changed.wait()
            reply = await self.serve(request)
        return reply

    async def _forward(
        self,
        request: ManifestRequest,
        not_leader: Any,
        timeout_ms: Milliseconds,
    ) -> Any | Failure | None:
        """Call the leader; return ``not_leader`` if it cannot be called.

        Returns ``None`` if it stops being the leader before it has answered.
        """
        leader = self._node.leader
        if leader is None:
            return not_leader
        reply = await self._call_while_leading(leader, request, timeout_ms)
        self._log.event(
            'manifest_call_forwarded',
            call=type(request).__name__,
            leader=leader.member_address,
            outcome=_outcome(reply),
        )
        if _has_reason(reply, FailureReason.LINK_BROKEN):
            return not_leader
        return reply

    async def _call_while_leading(
        self,
        leader: Replica,
        request: ManifestRequest,
        timeout_ms: Milliseconds,
    ) -> Any | Failure | None:
        reply: Any | Failure | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._cancel_after_change,
                leader,
                nursery.cancel_scope,
            )
            reply = await self._calls.call(
                leader.member_address,
                request,
                timeout_ms,
            )
            nursery.cancel_scope.cancel()
        return reply

    async def _cancel_after_change(
        self,
        leader: Replica,
        scope: trio.CancelScope,
    ) -> None:
        """Cancel a scope once a replica is no longer the known leader."""
        while self._is_leader(leader):
            await self._node.changed.wait()
        scope.cancel()

    def _is_leader(self, replica: Replica) -> bool:
        leader = self._node.leader
        return leader is not None and leader.voter_id == replica.voter_id


def _has_reason(reply: object, reason: FailureReason) -> bool:
    return isinstance(reply, Failure) and reply.reason is reason


def _outcome(reply: object) -> str:
    if reply is None:
        return 'leader_changed'
    return reply.reason.value if isinstance(reply, Failure) else 'answered'


def _unexpected(reply: object) -> Failure:
    if isinstance(reply, Rejected):
        return reply.failure()
    return Failure(
        FailureReason.MALFORMED_MESSAGE,
        f'unexpected reply {type(reply).__name__} to a call for the manifest',
    )
