"""Failure values that functions return instead of a result."""

from __future__ import annotations

import enum

import attrs


class RunState(enum.Enum):
    """Whether the work of a failed operation ran, as far as is known."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'


class FailureReason(enum.Enum):
    """Machine-readable reason of a failure.

    The values are part of the wire protocol, the HTTP interface and the logs.
    """

    # Requests and jobs of callers.
    INVALID_REQUEST = 'invalid_request'
    BODY_TOO_LARGE = 'body_too_large'
    ID_TOO_OLD = 'id_too_old'
    ID_IN_FUTURE = 'id_in_future'
    ID_CONFLICT = 'id_conflict'
    UNKNOWN_JOB = 'unknown_job'
    UNKNOWN_SERVICE = 'unknown_service'
    CANCELLED = 'cancelled'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    # Admission and placement.
    OVERLOADED = 'overloaded'
    QUOTA_EXCEEDED = 'quota_exceeded'
    NO_RUNNER = 'no_runner'
    RETRY_BUDGET_SPENT = 'retry_budget_spent'
    SHUTTING_DOWN = 'shutting_down'
    # Guards and runners.
    LEAVING = 'leaving'
    INCARNATION_FENCED = 'incarnation_fenced'
    GUARD_RESTARTED = 'guard_restarted'
    GUARD_UNREACHABLE = 'guard_unreachable'
    QUEUE_FULL = 'queue_full'
    RESULTS_FULL = 'results_full'
    RESULT_LOST = 'result_lost'
    RUNNER_FAILED = 'runner_failed'
    RUNNER_UNREACHABLE = 'runner_unreachable'
    TASK_FAILED = 'task_failed'
    WITHDRAWN = 'withdrawn'
    CONFIGURATION_STALE = 'configuration_stale'
    # Control.
    NOT_LEADER = 'not_leader'
    NO_QUORUM = 'no_quorum'
    INCARNATION_ENDED = 'incarnation_ended'
    OWNER_CHANGED = 'owner_changed'
    OWNER_ALIVE = 'owner_alive'
    ALREADY_FINISHED = 'already_finished'
    REVISION_CONFLICT = 'revision_conflict'
    APPROVAL_REQUIRED = 'approval_required'
    APPROVAL_MISMATCH = 'approval_mismatch'
    INVALID_CHANGE = 'invalid_change'
    VOTER_CHANGE_PENDING = 'voter_change_pending'
    # Links and storage.
    TIMEOUT = 'timeout'
    LINK_BROKEN = 'link_broken'
    MALFORMED_MESSAGE = 'malformed_message'
    STORAGE_FAILED = 'storage_failed'
    DISK_FULL = 'disk_full'
    # Authentication and authorization.
    UNAUTHENTICATED = 'unauthenticated'
    FORBIDDEN = 'forbidden'


@attrs.frozen(slots=True)
class Failure:
    """Result of an operation that failed.

    Programs decide by ``reason``; ``detail`` is one line of text for people.
    """

    reason: FailureReason
    detail: str = ''
    run_state: RunState = RunState.NOT_RUN
