"""Messages between control replicas, and the commands stored in the log."""

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
    """One control replica.

    ``address`` is the replica's address for operators, ``member_address`` its
    address for the framed protocol. ``storage_id`` identifies the disk that
    the vote is bound to. It is empty for the initial voters, which register
    their disks with each other by ``Introduce``.
    """

    voter_id: str
    address: str
    member_address: str
    voter: bool
    storage_id: bytes = b''


class StartTerm(Message, frozen=True):
    """First log entry of a leader's term.

    Sets the claim retention and the permitted clock skew on all replicas, so
    that they expire claims alike.
    """

    claim_retention_ms: int
    clock_skew_ms: int


class SetReplicas(Message, frozen=True):
    """Replace the set of replicas.

    The new set differs from the previous one by one replica at most.
    ``retired`` lists the voter ids of removed replicas, which must never be
    used again.
    """

    replicas: tuple[Replica, ...]
    retired: tuple[str, ...]


class SetJointReplicas(SetReplicas, frozen=True):
    """Begin to exchange voters.

    ``replicas`` lists the voters after the exchange as voters. Until it is
    completed by a ``SetReplicas``, elections and commits need a majority of
    these and one of ``previous_voters``, the ids of the voters before it. A
    voter that leaves is still listed, without being marked as a voter.
    """

    previous_voters: tuple[str, ...]


class MarkLeaving(Message, frozen=True):
    """Record that a guard incarnation accepts no new tasks."""

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
    | SetJointReplicas
    | MarkLeaving
    | PublishManifest
)


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log.

    ``wall_ms`` is the leader's wall time in milliseconds since the Unix epoch
    and never decreases along the log. ``command`` is an encoded
    ``LogCommand``.
    """

    index: int
    term: int
    wall_ms: int
    command: bytes


class RequestVote(Message, frozen=True):
    """Ask for a vote.

    With ``pre_vote`` it only asks whether a vote would be granted, and no vote
    is stored. ``last_index`` and ``last_term`` are those of the candidate's
    last log entry. ``recipient`` is the voter id that is asked; a replica under
    another id, which may have taken over the address, rejects the request.
    ``storage_id`` is the disk that the candidate's log binds the vote to. Both
    are empty in requests of earlier versions.
    """

    term: int
    candidate: str
    last_index: int
    last_term: int
    pre_vote: bool
    recipient: str = ''
    storage_id: bytes = b''


class VoteReply(Message, frozen=True):
    """Reply to ``RequestVote``; ``term`` is the voter's current term."""

    term: int
    granted: bool


class AppendEntries(Message, frozen=True):
    """Replicate log entries; without entries it is the leader's heartbeat.

    ``previous_index`` and ``previous_term`` are those of the log entry before
    ``entries``. ``recipient`` is as in ``RequestVote``.
    """

    term: int
    leader: str
    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[LogEntry, ...]
    recipient: str = ''


class AppendReply(Message, frozen=True):
    """Reply to ``AppendEntries`` and ``InstallSnapshot``.

    If accepted, ``match_index`` is the last synced index that is known to
    agree with the leader's log; after a mismatch it is the index to try next.
    ``storage_id`` identifies the disk of the replying replica.
    """

    term: int
    accepted: bool
    match_index: int
    storage_id: bytes


class InstallSnapshot(Message, frozen=True):
    """One part of the leader's snapshot; parts are sent in order.

    ``last_index`` is the index of the last log entry in the snapshot,
    ``offset`` the position of the part in bytes. ``recipient`` is as in
    ``RequestVote``.
    """

    term: int
    leader: str
    last_index: int
    offset: int
    part: bytes
    final: bool
    recipient: str = ''


class Introduce(Message, frozen=True):
    """Register the disk of a starting voter with another initial voter."""

    voter_id: str
    storage_id: bytes


class Introduced(Message, frozen=True):
    """Reply to ``Introduce``.

    ``accepted`` is false when the voter id is not part of the cluster or is
    known with another disk.
    """

    accepted: bool


# Requests to one voter id.
AddressedRequest: TypeAlias = RequestVote | AppendEntries | InstallSnapshot
ConsensusRequest: TypeAlias = (
    RequestVote | AppendEntries | InstallSnapshot | Introduce
)
ConsensusReply: TypeAlias = VoteReply | AppendReply | Introduced | Rejected
