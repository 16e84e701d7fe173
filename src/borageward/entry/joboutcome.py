"""Outcome of a job, derived from the outcomes of its tasks."""

from __future__ import annotations

from collections.abc import Sequence

from borageward.entry.answers import Answer, complete_answer, failed_answer
from borageward.failures import Failure, FailureReason, RunState
from borageward.identity import JobId
from borageward.messages.control import OutcomeKind
from borageward.messages.task import TaskOutcome


def has_not_run(outcomes: Sequence[TaskOutcome]) -> bool:
    """Return whether any outcome says that its task did not run."""
    return any(_is_not_run(outcome) for outcome in outcomes)


def outcome_kind(outcomes: Sequence[TaskOutcome]) -> OutcomeKind:
    """Return the outcome of a job, given the outcomes of all its tasks.

    The job is ``not_run`` only if no task has run, and ``failed`` if some
    tasks failed.
    """
    if all(outcome.reason is None for outcome in outcomes):
        return OutcomeKind.COMPLETE
    if all(_is_not_run(outcome) for outcome in outcomes):
        return OutcomeKind.NOT_RUN
    return OutcomeKind.FAILED


def final_answer(
    job_id: JobId,
    outcomes: Sequence[TaskOutcome],
    close_reason: FailureReason | None,
) -> Answer:
    """Return the complete or failed answer of a resolved job.

    ``close_reason`` says why the job was ended early, if it was. A failed
    answer reports it instead of the reason of a failed task.
    """
    kind = outcome_kind(outcomes)
    if kind is OutcomeKind.COMPLETE:
        return complete_answer(job_id, outcomes)
    failure = _failure(outcomes, kind, close_reason)
    return failed_answer(job_id, failure, outcomes)


def _failure(
    outcomes: Sequence[TaskOutcome],
    kind: OutcomeKind,
    close_reason: FailureReason | None,
) -> Failure:
    failed = [outcome for outcome in outcomes if outcome.reason]
    # The failure of a task that may have run matters more to the caller than
    # that of a task that did not run.
    cause = min(failed, key=_is_not_run)
    run_state = RunState.MAY_HAVE_RUN
    if kind is OutcomeKind.NOT_RUN:
        run_state = RunState.NOT_RUN
    reason = close_reason or cause.reason or FailureReason.TASK_FAILED
    return Failure(reason, cause.detail, run_state)


def _is_not_run(outcome: TaskOutcome) -> bool:
    failed = outcome.reason is not None
    return failed and outcome.run_state is RunState.NOT_RUN
