"""Requests to control and their replies.

A failed request is answered by ``Rejected``. ``NOT_LEADER`` carries the
address of the leader, when known, in ``detail``.
"""

from __future__ import annotations

import enum
from typing import TypeAlias

import msgspec

from borageward.messages.base import Message, Rejected
from borageward.messages.members import (
    EndIncarnation,
    EntryMember,
    GuardMember,
    GuardsSince,
    Heartbeat,
    HeartbeatReply,
    Membership,
    Registered,
    RegisterEntry,
    RegisterGuard,
    Watch,
)
from borageward.messages.revisions import (
    Applied,
    ApplyChange,
    Approve,
    ConfigurationRead,
    History,
    HistoryItem,
    InForce,
    ReadConfiguration,
    ReadHistory,
    ReadInForce,
    RevisionConflict,
)


__all__ = (
    'AddLearner',
    'Applied',
    'ApplyChange',
    'Approve',
    'Claim',
    'ClaimAnswer',
    'ClaimRequest',
    'ClaimState',
    'Claimed',
    'ConfigurationRead',
    'ControlReply',
    'ControlRequest',
    'ControlStatus',
    'Done',
    'EndIncarnation',
    'EntryMember',
    'FindClaims',
    'Finish',
    'Finished',
    'GuardMember',
    'GuardsSince',
    'Heartbeat',
    'HeartbeatReply',
    'History',
    'HistoryItem',
    'InForce',
    'JobFinish',
    'Membership',
    'OutcomeKind',
    'PromoteVoter',
    'ReadConfiguration',
    'ReadControl',
    'ReadHistory',
    'ReadInForce',
    'RegisterEntry',
    'RegisterGuard',
    'Registered',
    'Rejected',
    'RemoveVoter',
    'RevisionConflict',
    'TakeOver',
    'Watch',
)


class OutcomeKind(enum.Enum):
    """Recorded outcome of a job."""

    COMPLETE = 'complete'
    FAILED = 'failed'
    # Nothing of the job ran.
    NOT_RUN = 'not_run'


class ClaimRequest(msgspec.Struct, frozen=True, array_like=True):
    """One job to claim."""

    job_id: bytes
    digest: bytes
    task_count: int


class Claim(Message, frozen=True):
    """Claim jobs for an entry incarnation; all in one synced write."""

    incarnation: int
    requests: tuple[ClaimRequest, ...]


class ClaimState(enum.Enum):
    """Answer to one claim request."""

    CLAIMED = 'claimed'
    OWNED = 'owned'
    CONFLICT = 'conflict'
    TOO_OLD = 'too_old'
    IN_FUTURE = 'in_future'
    OWNER_ENDED = 'owner_ended'
    # No claim is known; the answer of ``TakeOver`` and ``FindClaims``.
    UNKNOWN = 'unknown'


class ClaimAnswer(msgspec.Struct, frozen=True, array_like=True):
    """State of one claim.

    ``owner`` is the entry incarnation that holds the claim and
    ``owner_address`` where it answers other entries. ``claimed_at`` is the
    log position of the claim. ``outcome`` is set once the job's outcome is
    recorded. ``former_owners`` are the ended incarnations that held the claim
    before ``owner``; a takeover has to fence them as well.
    """

    job_id: bytes
    state: ClaimState
    owner: int = 0
    owner_address: str = ''
    owner_live: bool = True
    claimed_at: int = 0
    task_count: int = 0
    outcome: OutcomeKind | None = None
    former_owners: tuple[int, ...] = ()


class Claimed(Message, frozen=True):
    """Answers to ``Claim``, ``TakeOver`` and ``FindClaims``, by position."""

    answers: tuple[ClaimAnswer, ...]


class TakeOver(Message, frozen=True):
    """Move claims of ended incarnations to a live one.

    A claim whose owner is live stays with it.
    """

    incarnation: int
    job_ids: tuple[bytes, ...]


class FindClaims(Message, frozen=True):
    """Read claims from a leader that confirmed its majority."""

    job_ids: tuple[bytes, ...]


class JobFinish(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of one job to record."""

    job_id: bytes
    outcome: OutcomeKind


class Finish(Message, frozen=True):
    """Record outcomes; refused for jobs that the incarnation does not own."""

    incarnation: int
    jobs: tuple[JobFinish, ...]


class Finished(Message, frozen=True):
    """Tells for each job of ``Finish`` whether the outcome was recorded."""

    recorded: tuple[bool, ...]


class Done(Message, frozen=True):
    """The request took effect."""


class AddLearner(Message, frozen=True):
    """Add a replica without a vote."""

    voter_id: str
    address: str
    member_address: str


class PromoteVoter(Message, frozen=True):
    """Give a learner that has caught up its vote."""

    voter_id: str


class RemoveVoter(Message, frozen=True):
    """Remove a replica from the set of voters or learners."""

    voter_id: str


class ReadControl(Message, frozen=True):
    """Read the state of one control replica."""


class ControlStatus(Message, frozen=True):
    """State of one control replica, for operators and tests."""

    voter_id: str
    term: int
    leader: str
    commit_index: int
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    claims: int
    revision: int


ControlRequest: TypeAlias = (
    Claim
    | TakeOver
    | FindClaims
    | Finish
    | RegisterEntry
    | RegisterGuard
    | Heartbeat
    | EndIncarnation
    | Watch
    | GuardsSince
    | ApplyChange
    | Approve
    | ReadConfiguration
    | ReadHistory
    | ReadInForce
    | AddLearner
    | PromoteVoter
    | RemoveVoter
    | ReadControl
)
ControlReply: TypeAlias = (
    Rejected
    | Claimed
    | Finished
    | Registered
    | HeartbeatReply
    | Done
    | Membership
    | Applied
    | RevisionConflict
    | ConfigurationRead
    | History
    | InForce
    | ControlStatus
)
