"""The replicated state machine, which applies the entries of the log."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from borageward.control.state.claims import ClaimTable
from borageward.control.state.manifests import ManifestStore
from borageward.control.state.members import Members
from borageward.control.state.revisions import Outcome, Revisions
from borageward.control.state.snapshot import StateSnapshot
from borageward.failures import Failure, FailureReason
from borageward.messages.base import Rejected
from borageward.messages.consensus import (
    LogCommand,
    LogEntry,
    MarkLeaving,
    SetReplicas,
    StartTerm,
)
from borageward.messages.control import (
    ApplyChange,
    Approve,
    Claim,
    Claimed,
    Done,
    EndIncarnation,
    Finish,
    Finished,
    RegisterEntry,
    Registered,
    RegisterGuard,
    TakeOver,
)
from borageward.messages.queues import ManifestStored, PublishManifest

StateReply: TypeAlias = (
    Outcome | Claimed | Finished | Registered | ManifestStored
)

_MemberCommand: TypeAlias = (
    RegisterEntry | RegisterGuard | EndIncarnation | MarkLeaving
)

_command_decoder = msgspec.msgpack.Decoder(LogCommand)
_snapshot_decoder = msgspec.msgpack.Decoder(StateSnapshot)


class StateMachine:
    """Claims, members, revisions and queue manifest at one log position.

    The result of an entry depends on the log alone, so that all replicas reach
    the same state: the only clock is the wall time that the leader writes into
    each entry, and an earlier time than that of a previous entry is ignored.
    """

    def __init__(self) -> None:
        """Create the empty state of a new cluster."""
        self._members = Members()
        self._claims = ClaimTable(self._members)
        self._revisions = Revisions()
        self._manifests = ManifestStore()
        self._applied_index = 0
        self._wall_ms = 0

    @property
    def applied_index(self) -> int:
        """Return the log position of the last applied entry."""
        return self._applied_index

    @property
    def wall_ms(self) -> int:
        """Return the latest wall time of an applied entry, in ms."""
        return self._wall_ms

    @property
    def members(self) -> Members:
        """Return the incarnations of entries and guards."""
        return self._members

    @property
    def claims(self) -> ClaimTable:
        """Return the claims of jobs."""
        return self._claims

    @property
    def revisions(self) -> Revisions:
        """Return the configuration and its history."""
        return self._revisions

    @property
    def manifests(self) -> ManifestStore:
        """Return the store of the queue manifest."""
        return self._manifests

    def apply(self, entry: LogEntry) -> StateReply:
        """Apply the next entry and return the reply to its request."""
        self._applied_index = entry.index
        self._wall_ms = max(self._wall_ms, entry.wall_ms)
        self._claims.expire(self._wall_ms)
        self._members.forget(self._wall_ms - self._claims.max_claim_age_ms)
        return self._apply_command(_command_decoder.decode(entry.command))

    def encode(self) -> bytes:
        """Encode the whole state for a snapshot."""
        return msgspec.msgpack.encode(
            StateSnapshot(
                self._applied_index,
                self._wall_ms,
                self._members.snapshot(),
                self._claims.snapshot(),
                self._revisions.snapshot(),
                self._manifests.newest,
            ),
        )

    def restore(self, document: bytes) -> Failure | None:
        """Replace the state by an encoded one.

        Returns ``STORAGE_FAILED`` if the document cannot be decoded, and
        ``INVALID_CHANGE`` if the configuration in it cannot be decoded. The
        state must not be used after a failure.
        """
        try:
            snapshot = _snapshot_decoder.decode(document)
        except msgspec.DecodeError as error:
            return Failure(FailureReason.STORAGE_FAILED, str(error))
        self._applied_index = snapshot.applied_index
        self._wall_ms = snapshot.wall_ms
        self._members.restore(snapshot.members)
        self._claims.restore(snapshot.claims)
        self._manifests.restore(snapshot.manifest)
        return self._revisions.restore(snapshot.revisions)

    def _apply_command(self, command: LogCommand) -> StateReply:
        if isinstance(command, Claim | TakeOver | Finish):
            return self._apply_to_claims(command)
        if isinstance(command, PublishManifest):
            return self._manifests.publish(command)
        if isinstance(command, ApplyChange):
            return self._revisions.apply(command, self._wall_ms)
        if isinstance(command, Approve):
            return self._revisions.approve(command)
        if isinstance(command, StartTerm):
            self._claims.set_time_limits(
                command.claim_retention_ms,
                command.clock_skew_ms,
            )
            return Done()
        if isinstance(command, SetReplicas):
            return Done()
        return self._apply_to_members(command)

    def _apply_to_claims(
        self, command: Claim | TakeOver | Finish
    ) -> StateReply:
        if not self._members.is_live_entry(command.incarnation):
            return Rejected(
                FailureReason.INCARNATION_ENDED,
                f'entry incarnation {command.incarnation} has ended',
            )
        if isinstance(command, Claim):
            return self._claim_jobs(command)
        owner = command.incarnation
        if isinstance(command, TakeOver):
            return Claimed(
                tuple(
                    self._claims.take_over(job_id, owner)
                    for job_id in command.job_ids
                ),
            )
        return Finished(
            tuple(self._claims.finish(job, owner) for job in command.jobs),
        )

    def _claim_jobs(self, command: Claim) -> Claimed:
        return Claimed(
            tuple(
                self._claims.claim(
                    request,
                    command.incarnation,
                    self._applied_index,
                    self._wall_ms,
                )
                for request in command.requests
            ),
        )

    def _apply_to_members(self, command: _MemberCommand) -> StateReply:
        position = self._applied_index
        if isinstance(command, EndIncarnation):
            self._members.end(command.incarnation, position, self._wall_ms)
            return Done()
        if isinstance(command, MarkLeaving):
            self._members.mark_leaving(command.incarnation, position)
            return Done()
        return self._register(command)

    def _register(
        self,
        command: RegisterEntry | RegisterGuard,
    ) -> Registered | Rejected:
        incarnation = self._members.incarnation_of(command.nonce)
        if incarnation is None:
            incarnation = self._applied_index
            if isinstance(command, RegisterEntry):
                self._members.add_entry(command, incarnation)
            else:
                self._members.add_guard(command, incarnation)
        elif not self._members.is_live(incarnation):
            return Rejected(
                FailureReason.INCARNATION_ENDED,
                f'incarnation {incarnation} has ended',
            )
        revision = self._revisions.revision
        return Registered(
            incarnation,
            revision,
            self._revisions.document(revision) or b'',
            self._members.ended_entries_after(0),
            self._applied_index,
        )
