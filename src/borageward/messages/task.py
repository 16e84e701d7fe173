"""Tasks and their outcomes as they travel between processes."""

from __future__ import annotations

import enum

import msgspec

from borageward.failures import FailureReason, RunState


class RunClass(enum.Enum):
    """Class of a task by its expected run time."""

    SHORT = 'short'
    LONG = 'long'


class TaskPhase(enum.Enum):
    """State of one task at one guard."""

    # Never accepted, and fenced from now on: it did not and will not run here.
    NOT_RUN = 'not_run'
    QUEUED = 'queued'
    RUNNING = 'running'
    FINISHED = 'finished'


class TaskSpec(msgspec.Struct, frozen=True, array_like=True):
    """Task as an entry hands it to a guard.

    ``attempt`` counts the placements of the task; a guard that refused,
    withdrew or fenced an attempt never starts that attempt or an earlier one.
    ``expected_ms`` is the run time learnt by the entry. ``payload`` is JSON.
    """

    index: int
    attempt: int
    kind: str
    payload: bytes
    idempotent: bool
    run_class: RunClass
    expected_ms: float


class TaskOutcome(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of one task: a JSON result, or a reason and a run state."""

    index: int
    result: bytes | None = None
    reason: FailureReason | None = None
    run_state: RunState = RunState.RAN
    detail: str = ''
    run_ms: float = 0


class TaskReport(msgspec.Struct, frozen=True, array_like=True):
    """Phase of one task at one guard, with its outcome once finished."""

    index: int
    phase: TaskPhase
    outcome: TaskOutcome | None = None
