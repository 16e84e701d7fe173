"""Dispatch of control requests to their handlers."""

from __future__ import annotations

from borageward.control.service.leases import LeaseTable
from borageward.control.service.reads import Reader
from borageward.control.service.replica import LogReplica
from borageward.control.service.validation import check_request
from borageward.failures import Failure, FailureReason
from borageward.messages.base import Rejected
from borageward.messages.consensus import MarkLeaving
from borageward.messages.control import (
    AddLearner,
    ApplyChange,
    Approve,
    Claim,
    ControlReply,
    ControlRequest,
    ControlStatus,
    EndIncarnation,
    Finish,
    Heartbeat,
    HeartbeatReply,
    PromoteVoter,
    ReadControl,
    RegisterEntry,
    RegisterGuard,
    RemoveVoter,
    TakeOver,
)
from borageward.transport import Handler

# Requests that are commands of the replicated log.
_LOGGED_REQUESTS = (
    Claim,
    TakeOver,
    Finish,
    RegisterEntry,
    RegisterGuard,
    EndIncarnation,
    ApplyChange,
    Approve,
)


class RequestRouter:
    """Answers the requests of entries, guards and operators.

    Only the leader answers them, except for ``ReadControl``.
    """

    def __init__(
        self,
        replica: LogReplica,
        leases: LeaseTable,
        reader: Reader,
    ) -> None:
        """Create a router that serves from one replica of the log."""
        self._replica = replica
        self._leases = leases
        self._reader = reader
        self._handlers: dict[type, Handler] = {
            Heartbeat: self._handle_heartbeat,
            ReadControl: self._handle_status,
            AddLearner: replica.change_replicas,
            PromoteVoter: replica.change_replicas,
            RemoveVoter: replica.change_replicas,
        }
        for request_type in _LOGGED_REQUESTS:
            self._handlers[request_type] = replica.propose

    async def serve(self, request: ControlRequest) -> ControlReply:
        """Return the reply to a request, or ``Rejected`` for a failure."""
        invalid = check_request(request)
        if invalid is not None:
            return Rejected.of(invalid)
        handler = self._handlers.get(type(request), self._reader.read)
        reply = await handler(request)
        return Rejected.of(reply) if isinstance(reply, Failure) else reply

    async def _handle_status(self, _request: ReadControl) -> ControlStatus:
        return self._replica.status()

    async def _handle_heartbeat(
        self,
        request: Heartbeat,
    ) -> HeartbeatReply | Failure:
        leadership_failure = await self._replica.confirm_leadership()
        if leadership_failure is not None:
            return leadership_failure
        if not self._leases.renew(request.incarnation, request.revision):
            return _incarnation_ended(request.incarnation)
        if request.leaving:
            failure = await self._mark_leaving(request.incarnation)
            if failure is not None:
                return failure
        return self._heartbeat_reply(request)

    async def _mark_leaving(self, incarnation: int) -> Failure | None:
        members = self._replica.machine.members
        if not members.is_working_guard(incarnation):
            return None
        reply = await self._replica.propose(MarkLeaving(incarnation))
        return reply if isinstance(reply, Failure) else None

    def _heartbeat_reply(self, request: Heartbeat) -> HeartbeatReply:
        machine = self._replica.machine
        revision = machine.revisions.revision
        document = b''
        if revision > request.revision:
            document = machine.revisions.document(revision) or b''
        return HeartbeatReply(
            revision,
            document,
            machine.members.ended_entries_after(request.ended_after),
            machine.applied_index,
            machine.members.live_entries,
        )


def _incarnation_ended(incarnation: int) -> Failure:
    return Failure(
        FailureReason.INCARNATION_ENDED,
        f'incarnation {incarnation} has ended',
    )
