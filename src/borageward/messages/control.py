"""Requests to control and their replies.

A failed request is answered by ``Rejected``. When its reason is
``NOT_LEADER``, ``detail`` is the leader's address for the transport of the
caller, or empty when the leader is not known.
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
    """Outcome of a job as control records it."""

    COMPLETE = 'complete'
    FAILED = 'failed'
    # No task of the job ran.
    NOT_RUN = 'not_run'


class ClaimRequest(msgspec.Struct, frozen=True, array_like=True):
    """One job to claim.

    ``digest`` is the 16-byte digest of the job's service and tasks: a second
    claim of the job id with another digest is a conflict.
    """

    job_id: bytes
    digest: bytes
    task_count: int


class Claim(Message, frozen=True):
    """Claim jobs for an entry incarnation by a single synced log entry.

    Answered by ``Claimed``.
    """

    incarnation: int
    requests: tuple[ClaimRequest, ...]


class ClaimState(enum.Enum):
    """State of a claim with regard to the asking incarnation.

    ``CLAIMED``: the asking incarnation owns the claim. ``OWNED``: another
    live entry owns it. ``OWNER_ENDED``: its owner has ended, and the claim may
    be taken over. ``CONFLICT``: the job id was claimed with another digest.
    ``TOO_OLD`` and ``IN_FUTURE``: the time in the job id is outside the range
    in which new claims are accepted.
    """

    CLAIMED = 'claimed'
    OWNED = 'owned'
    CONFLICT = 'conflict'
    TOO_OLD = 'too_old'
    IN_FUTURE = 'in_future'
    OWNER_ENDED = 'owner_ended'
    # There is no claim of the job; only for ``TakeOver`` and ``FindClaims``.
    UNKNOWN = 'unknown'


class ClaimAnswer(msgspec.Struct, frozen=True, array_like=True):
    """State of one claim.

    ``owner`` is the entry incarnation that owns the claim, and
    ``owner_address`` its address for other entries. ``claimed_at`` is the log
    position of the claim. ``outcome`` is set once the job's outcome is
    recorded. ``former_owners`` are the ended incarnations that owned the claim
    before ``owner``; a takeover has to fence them as well, because their tasks
    may still be at guards.
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
    """Reply to ``Claim``, ``TakeOver`` and ``FindClaims``.

    The answers have the order of the jobs in the request.
    """

    answers: tuple[ClaimAnswer, ...]


class TakeOver(Message, frozen=True):
    """Move claims of ended entries to the asking incarnation.

    A claim whose owner is live is not moved. Answered by ``Claimed``.
    """

    incarnation: int
    job_ids: tuple[bytes, ...]


class FindClaims(Message, frozen=True):
    """Read claims; answered by ``Claimed``.

    The leader answers after a majority has confirmed its leadership.
    """

    job_ids: tuple[bytes, ...]


class JobFinish(msgspec.Struct, frozen=True, array_like=True):
    """Job and the outcome to record for it."""

    job_id: bytes
    outcome: OutcomeKind


class Finish(Message, frozen=True):
    """Record outcomes of jobs that the incarnation owns."""

    incarnation: int
    jobs: tuple[JobFinish, ...]


class Finished(Message, frozen=True):
    """Reply to ``Finish``, with one value for each job in its order.

    False means that the incarnation does not own the job or that another
    outcome was recorded before.
    """

    recorded: tuple[bool, ...]


class Done(Message, frozen=True):
    """Confirm that a request took effect."""


class AddLearner(Message, frozen=True):
    """Add a control replica without a vote.

    ``address`` is its address for operators, ``member_address`` its address
    for the framed protocol.
    """

    voter_id: str
    address: str
    member_address: str


class PromoteVoter(Message, frozen=True):
    """Make a learner a voter.

    Rejected with ``VOTER_CHANGE_PENDING`` until the learner has all committed
    entries.
    """

    voter_id: str


class RemoveVoter(Message, frozen=True):
    """Remove a voter or learner; its id cannot be used again."""

    voter_id: str


class ReadControl(Message, frozen=True):
    """Read the status of the control replica that receives the request."""


class ControlStatus(Message, frozen=True):
    """Status of one control replica.

    ``leader`` is the voter id of the leader, or empty when none is known.
    ``commit_index`` is a log position, ``claims`` the number of claims and
    ``revision`` the newest configuration revision.
    """

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
