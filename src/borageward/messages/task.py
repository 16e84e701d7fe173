"""Wire forms of tasks and their outcomes."""

from __future__ import annotations

import enum

import msgspec

from borageward.failures import FailureReason, RunState


class RunClass(enum.Enum):
    """Class of a task by its expected run time, used for slot scheduling."""

    SHORT = 'short'
    LONG = 'long'


class TaskPhase(enum.Enum):
    """State of one task at one guard."""

    # The task did not start at this guard, and the attempt never will.
    NOT_RUN = 'not_run'
    QUEUED = 'queued'
    RUNNING = 'running'
    FINISHED = 'finished'


class TaskSpec(msgspec.Struct, frozen=True, array_like=True):
    """Task that an entry orders a guard to start.

    ``index`` is the position of the task in its job. ``attempt`` counts the
    placements of the task by the entry that owns the job. After a guard has
    refused, withdrawn or fenced an attempt, it starts neither that attempt nor
    an earlier one. ``payload`` is JSON. ``expected_ms`` is the run time that
    the entry predicts from earlier runs of the kind.
    """

    index: int
    attempt: int
    kind: str
    payload: bytes
    idempotent: bool
    run_class: RunClass
    expected_ms: float


class TaskOutcome(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of one task.

    ``result`` is the JSON result of a task that succeeded. Otherwise
    ``reason``, ``run_state`` and ``detail`` describe the failure. ``run_ms``
    is the observed run time, zero when there is none.
    """

    index: int
    result: bytes | None = None
    reason: FailureReason | None = None
    run_state: RunState = RunState.RAN
    detail: str = ''
    run_ms: float = 0


class TaskReport(msgspec.Struct, frozen=True, array_like=True):
    """Phase of one task at one guard; ``outcome`` is set once finished."""

    index: int
    phase: TaskPhase
    outcome: TaskOutcome | None = None
