"""Encoding of the replicated state in snapshots.

All structures are stored as arrays, so the order of their fields is part of
the stored form.
"""

from __future__ import annotations

import msgspec

from borageward.messages.control import (
    Applied,
    Approve,
    Done,
    EntryMember,
    GuardMember,
    HistoryItem,
    RevisionConflict,
)
from borageward.messages.base import Rejected
from borageward.queues.manifest import QueueManifest


class EntryRecord(msgspec.Struct, array_like=True):
    """An entry incarnation.

    ``changed_at`` is the membership version of its last change.
    ``ended_wall_ms`` is the wall time of its end, 0 while it is live.
    """

    member: EntryMember
    nonce: bytes
    changed_at: int
    ended_wall_ms: int = 0


class GuardRecord(msgspec.Struct, array_like=True):
    """A guard incarnation.

    ``changed_at`` is the membership version of its last change.
    ``ended_wall_ms`` is the wall time of its end, 0 while it is live.
    """

    member: GuardMember
    nonce: bytes
    changed_at: int
    ended_wall_ms: int = 0


class MembersSnapshot(msgspec.Struct, array_like=True):
    """All incarnations that are live or not forgotten yet.

    ``version`` is the membership version. ``forgotten_version`` is the newest
    membership version at which a forgotten incarnation last changed.
    """

    entries: tuple[EntryRecord, ...]
    guards: tuple[GuardRecord, ...]
    version: int
    forgotten_version: int


class ClaimGroup(msgspec.Struct, array_like=True):
    """Claims made within one second.

    ``wall_ms`` is the end of that second. ``job_ids`` and ``records`` hold the
    job ids and the packed claims in the same order, without separators.
    """

    wall_ms: int
    job_ids: bytes
    records: bytes


class FormerOwners(msgspec.Struct, array_like=True):
    """Ended incarnations that owned a claim before it was taken over."""

    job_id: bytes
    incarnations: tuple[int, ...]


class ClaimsSnapshot(msgspec.Struct, array_like=True):
    """All claims that have not expired, and the limits on job ids.

    Ids with a time up to ``oldest_id_ms`` cannot be claimed any more.
    ``skew_ms`` is the tolerated difference between the clock that set the time
    of an id and the clock of the leader.
    """

    groups: tuple[ClaimGroup, ...]
    former: tuple[FormerOwners, ...]
    oldest_id_ms: int
    retention_ms: int
    skew_ms: int


class CommandOutcome(msgspec.Struct, array_like=True):
    """First outcome of an operator's command.

    ``body_digest`` is the digest of the command. By it, a command that is sent
    again is distinguished from another command with the same id.
    """

    command_id: bytes
    body_digest: bytes
    outcome: Applied | RevisionConflict | Done | Rejected


class RevisionRecord(msgspec.Struct, array_like=True):
    """A revision: its change in the history and its configuration as JSON."""

    history: HistoryItem
    document: bytes


class RevisionsSnapshot(msgspec.Struct, array_like=True):
    """Kept revisions, approvals for the newest one and command outcomes."""

    revisions: tuple[RevisionRecord, ...]
    approvals: tuple[Approve, ...]
    commands: tuple[CommandOutcome, ...]


class StateSnapshot(msgspec.Struct, array_like=True):
    """The whole replicated state at the position ``applied_index``."""

    applied_index: int
    wall_ms: int
    members: MembersSnapshot
    claims: ClaimsSnapshot
    revisions: RevisionsSnapshot
    manifest: QueueManifest | None = None
