"""Messages between control replicas, and the commands that the log keeps."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from borageward.messages.base import Message, Rejected
from borageward.messages.control import (
    ApplyChange,
    Approve,
    Claim,
    EndIncarnation,
    Finish,
    RegisterEntry,
    RegisterGuard,
    TakeOver,
)
from borageward.messages.queues import PublishManifest


class Replica(msgspec.Struct, frozen=True, array_like=True):
    """One member of the cluster.

    ``storage_id`` names the disk that the vote is bound to. It is empty for
    the initial voters, which introduce themselves to each other instead.
    """

    voter_id: str
    address: str
    member_address: str
    voter: bool
    storage_id: bytes = b''


class StartTerm(Message, frozen=True):
    """First entry of a leader; sets the times that all replicas use."""

    claim_retention_ms: int
    clock_skew_ms: int


class SetReplicas(Message, frozen=True):
    """Replace the set of replicas; differs by one replica at most.

    ``retired`` lists identities that must never be used again.
    """

    replicas: tuple[Replica, ...]
    retired: tuple[str, ...]


class MarkLeaving(Message, frozen=True):
    """Record that a guard takes no new work."""

    incarnation: int


LogCommand: TypeAlias = (
    Claim
    | TakeOver
    | Finish
    | RegisterEntry
    | RegisterGuard
    | EndIncarnation
    | ApplyChange
    | Approve
    | StartTerm
    | SetReplicas
    | MarkLeaving
    | PublishManifest
)


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log; ``command`` is an encoded ``LogCommand``."""

    index: int
    term: int
    wall_ms: int
    command: bytes


class RequestVote(Message, frozen=True):
    """Ask for a vote; with ``pre_vote`` whether a vote would be granted."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    pre_vote: bool


class VoteReply(Message, frozen=True):
    """Answer to ``RequestVote``."""

    term: int
    granted: bool


class AppendEntries(Message, frozen=True):
    """Replicate entries; without entries a heartbeat of the leader."""

    term: int
    leader: str
    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[LogEntry, ...]


class AppendReply(Message, frozen=True):
    """Answer to ``AppendEntries`` and ``InstallSnapshot``.

    ``match_index`` is the last synced index known to equal the leader's log,
    or after a mismatch the index to try next. ``storage_id`` names the disk.
    """

    term: int
    accepted: bool
    match_index: int
    storage_id: bytes


class InstallSnapshot(Message, frozen=True):
    """One part of the leader's snapshot; parts arrive in order of offset."""

    term: int
    leader: str
    last_index: int
    offset: int
    part: bytes
    final: bool


class Introduce(Message, frozen=True):
    """Tell an initial voter which disk belongs to an identity."""

    voter_id: str
    storage_id: bytes


class Introduced(Message, frozen=True):
    """Tells whether the disk is the first one seen for the identity."""

    accepted: bool


ConsensusRequest: TypeAlias = (
    RequestVote | AppendEntries | InstallSnapshot | Introduce
)
ConsensusReply: TypeAlias = VoteReply | AppendReply | Introduced | Rejected
