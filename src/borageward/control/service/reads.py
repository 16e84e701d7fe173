"""Linearizable reads of the control state.

The leader confirms with a majority of voters that it still leads before it
answers.
"""

from __future__ import annotations

from typing import TypeAlias

import trio

from borageward.clock import Clock
from borageward.control.service.leases import LeaseTable
from borageward.control.service.replica import LogReplica
from borageward.failures import Failure, FailureReason
from borageward.messages.control import (
    Claimed,
    ConfigurationRead,
    FindClaims,
    GuardsSince,
    History,
    InForce,
    Membership,
    ReadConfiguration,
    ReadHistory,
    ReadInForce,
    Watch,
)

ReadRequest: TypeAlias = (
    FindClaims
    | GuardsSince
    | ReadConfiguration
    | ReadHistory
    | ReadInForce
    | Watch
)
ReadReply: TypeAlias = (
    Claimed | Membership | ConfigurationRead | History | InForce
)

_MAX_WAIT_MS = 60_000.0
_MAX_HISTORY_ITEMS = 1000
_MS_PER_SECOND = 1000.0


class Reader:
    """Answers reads from the state of the leader.

    A reply includes every change that was acknowledged before the read.
    """

    def __init__(
        self,
        replica: LogReplica,
        leases: LeaseTable,
        clock: Clock,
    ) -> None:
        """Create a reader of one replica of the log."""
        self._replica = replica
        self._leases = leases
        self._clock = clock

    async def read(self, request: ReadRequest) -> ReadReply | Failure:
        """Return the reply, or a failure.

        The failure is ``NOT_LEADER``, ``NO_QUORUM`` or another reason why this
        replica cannot answer, or ``INVALID_REQUEST`` for a revision that is
        not retained.
        """
        leadership_failure = await self._replica.confirm_leadership()
        if leadership_failure is not None:
            return leadership_failure
        if isinstance(request, Watch):
            return await self._watch(request)
        if isinstance(request, FindClaims | GuardsSince):
            return self._read_claims_or_guards(request)
        return self._read_configuration(request)

    def _read_claims_or_guards(
        self,
        request: FindClaims | GuardsSince,
    ) -> Claimed | Membership:
        machine = self._replica.machine
        if isinstance(request, GuardsSince):
            return machine.members.guards_since(request.position)
        return Claimed(
            tuple(machine.claims.find(job_id) for job_id in request.job_ids),
        )

    def _read_configuration(
        self,
        request: ReadConfiguration | ReadHistory | ReadInForce,
    ) -> ConfigurationRead | History | InForce | Failure:
        revisions = self._replica.machine.revisions
        if isinstance(request, ReadInForce):
            return self._leases.in_force(request.revision)
        if isinstance(request, ReadHistory):
            return History(
                revisions.history(min(request.limit, _MAX_HISTORY_ITEMS))
            )
        revision = request.revision or revisions.revision
        document = revisions.document(revision)
        if document is None:
            return Failure(
                FailureReason.INVALID_REQUEST,
                f'revision {revision} does not exist or is no longer retained',
            )
        return ConfigurationRead(revision, document)

    async def _watch(self, request: Watch) -> Membership | Failure:
        """Answer a long poll once the members change or its wait is over.

        Leadership is confirmed again, because it may be lost during the wait.
        """
        wait_ms = min(max(0, request.wait_ms), _MAX_WAIT_MS)
        term = self._replica.leader_term
        with trio.move_on_after(wait_ms / _MS_PER_SECOND):
            await self._wait_for_change(request.after_version, term)
        leadership_failure = await self._replica.confirm_leadership()
        if leadership_failure is not None:
            return leadership_failure
        members = self._replica.machine.members
        return members.changes_after(request.after_version)

    async def _wait_for_change(self, version: int, term: int) -> None:
        while self._replica.leader_term == term:
            if self._replica.machine.members.version != version:
                return
            await self._replica.changed.wait()
