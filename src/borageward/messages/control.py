"""Requests to control and their replies.

A failed request is answered by ``Rejected``. ``NOT_LEADER`` carries the
address of the leader, when known, in ``detail``.
"""

from __future__ import annotations

import enum
from typing import TypeAlias

import msgspec

from borageward.messages.base import Message, Rejected
from borageward.messages.configuration import ConfigurationChange


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


class RegisterEntry(Message, frozen=True):
    """Start an entry incarnation. The same nonce gives the same number."""

    nonce: bytes
    name: str
    place: str
    link_address: str
    http_address: str


class RegisterGuard(Message, frozen=True):
    """Start a guard incarnation. The same nonce gives the same number."""

    nonce: bytes
    worker: str
    place: str
    service: str
    endpoint: str
    link_address: str
    slots: int


class Registered(Message, frozen=True):
    """Incarnation given to a process, with the configuration in force.

    ``ended`` lists every ended entry incarnation in retention, so that a new
    guard fences them before its first start.
    """

    incarnation: int
    revision: int
    configuration: bytes
    ended: tuple[int, ...] = ()
    ended_through: int = 0


class Heartbeat(Message, frozen=True):
    """Renew the lease of an incarnation and confirm a revision.

    ``ended_after`` is the last ended incarnation position that the process
    has seen; the reply lists those after it.
    """

    incarnation: int
    revision: int
    ended_after: int
    leaving: bool = False
    free_slots: int = 0


class HeartbeatReply(Message, frozen=True):
    """Confirms the lease with the newest revision.

    ``configuration`` is JSON and empty when the process is up to date.
    ``ended`` lists entry incarnations that ended; ``ended_through`` is the
    position to send in the next heartbeat.
    """

    revision: int
    configuration: bytes
    ended: tuple[int, ...]
    ended_through: int
    live_entries: int


class EndIncarnation(Message, frozen=True):
    """End an incarnation, by the process itself after its last answer."""

    incarnation: int


class Done(Message, frozen=True):
    """The request took effect."""


class GuardMember(msgspec.Struct, frozen=True, array_like=True):
    """One guard incarnation as control knows it.

    ``started_at`` and ``ended_at`` are log positions; ``ended_at`` is zero
    while the incarnation lives.
    """

    incarnation: int
    worker: str
    place: str
    service: str
    endpoint: str
    link_address: str
    slots: int
    leaving: bool = False
    started_at: int = 0
    ended_at: int = 0


class EntryMember(msgspec.Struct, frozen=True, array_like=True):
    """One entry incarnation as control knows it."""

    incarnation: int
    name: str
    place: str
    link_address: str
    http_address: str
    started_at: int = 0
    ended_at: int = 0


class Watch(Message, frozen=True):
    """Long poll for membership changes after a version.

    ``wait_ms`` bounds how long control holds the request.
    """

    after_version: int
    wait_ms: float


class Membership(Message, frozen=True):
    """Members that changed after the version that was asked for.

    With ``full`` the lists hold every member in retention.
    """

    version: int
    full: bool
    guards: tuple[GuardMember, ...]
    entries: tuple[EntryMember, ...]


class GuardsSince(Message, frozen=True):
    """Ask for every guard incarnation that lived at or after a position."""

    position: int


class ApplyChange(Message, frozen=True):
    """Compare-and-set of the configuration.

    ``plan_digest`` is the digest of the exact plan text that was approved, or
    empty. The same command id gets its first outcome again.
    """

    command_id: bytes
    base_revision: int
    change: ConfigurationChange
    author: str
    reason: str
    plan_digest: bytes = b''


class Approve(Message, frozen=True):
    """Record an approval of a plan by its digest."""

    command_id: bytes
    plan_digest: bytes
    base_revision: int
    approver: str


class Applied(Message, frozen=True):
    """The change is durable as this revision."""

    revision: int


class RevisionConflict(Message, frozen=True):
    """Another change won; tells whose and when."""

    revision: int
    author: str
    reason: str
    applied_wall_ms: int


class ReadConfiguration(Message, frozen=True):
    """Read the configuration; zero means the newest revision."""

    revision: int = 0


class HistoryItem(msgspec.Struct, frozen=True, array_like=True):
    """One change in the history: who, when, why."""

    revision: int
    author: str
    approver: str
    reason: str
    wall_ms: int
    change: ConfigurationChange | None


class ConfigurationRead(Message, frozen=True):
    """Configuration of a revision as JSON."""

    revision: int
    configuration: bytes


class ReadHistory(Message, frozen=True):
    """Read the newest changes, newest first."""

    limit: int


class History(Message, frozen=True):
    """Changes, newest first."""

    history: tuple[HistoryItem, ...]


class ReadInForce(Message, frozen=True):
    """Ask which live processes have not confirmed a revision."""

    revision: int


class InForce(Message, frozen=True):
    """Processes that have not confirmed the revision; none: in force."""

    revision: int
    pending: tuple[str, ...]
    confirmed: int


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
