"""What the outcomes of all tasks mean for the job."""

from __future__ import annotations

from collections.abc import Sequence

from borageward.entry.answers import Answer, complete_answer, failed_answer
from borageward.failures import Failure, FailureReason, RunState
from borageward.identity import JobId
from borageward.messages.control import OutcomeKind
from borageward.messages.task import TaskOutcome


def has_not_run(outcomes: Sequence[TaskOutcome]) -> bool:
    """Tell whether the answer will say ``not_run`` of any task."""
    return any(_is_not_run(outcome) for outcome in outcomes)


def outcome_kind(outcomes: Sequence[TaskOutcome]) -> OutcomeKind:
    """Return the outcome to record of a resolved job."""
    if all(outcome.reason is None for outcome in outcomes):
        return OutcomeKind.COMPLETE
    if all(_is_not_run(outcome) for outcome in outcomes):
        return OutcomeKind.NOT_RUN
    return OutcomeKind.FAILED


def final_answer(
    job_id: JobId,
    outcomes: Sequence[TaskOutcome],
    closing: FailureReason | None,
) -> Answer:
    """Return the answer of a resolved job: complete or failed.

    ``closing`` is why the job was ended early, if it was.
    """
    kind = outcome_kind(outcomes)
    if kind is OutcomeKind.COMPLETE:
        return complete_answer(job_id, outcomes)
    failure = _failure(outcomes, kind, closing)
    return failed_answer(job_id, failure, outcomes)


def _failure(
    outcomes: Sequence[TaskOutcome],
    kind: OutcomeKind,
    closing: FailureReason | None,
) -> Failure:
    failed = [outcome for outcome in outcomes if outcome.reason]
    # What may have run matters more to the caller than what did not.
    cause = min(failed, key=_is_not_run)
    run_state = RunState.MAY_HAVE_RUN
    if kind is OutcomeKind.NOT_RUN:
        run_state = RunState.NOT_RUN
    reason = closing or cause.reason or FailureReason.TASK_FAILED
    return Failure(reason, cause.detail, run_state)


def _is_not_run(outcome: TaskOutcome) -> bool:
    failed = outcome.reason is not None
    return failed and outcome.run_state is RunState.NOT_RUN
