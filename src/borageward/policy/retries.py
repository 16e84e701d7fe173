"""Retries of tasks that are known not to have run."""

from __future__ import annotations

import random
from typing import Protocol

from borageward.clock import Milliseconds
from borageward.configuration import Limits
from borageward.failures import Failure, FailureReason
from borageward.policy.dispatch import WaitingTask

# Largest number of saved-up retries. It covers the starts that were already
# sent when a guard announces that it is leaving.
_BURST_RETRIES = 50.0
_PERMITTED: Failure | None = None


class RetryPolicy(Protocol):
    """Decides whether and when a task is placed again."""

    def configure(self, limits: Limits) -> None:
        """Apply changed limits."""

    def record_first_attempt(self) -> None:
        """Count the first attempt of a task."""

    def refusal(
        self,
        task: WaitingTask,
        reason: FailureReason | None,
    ) -> Failure | None:
        """Return why a task is not retried, or ``None`` if it is.

        ``reason`` is the reason of the last refusal, if one is known.
        """

    def delay_ms(self, task: WaitingTask) -> Milliseconds:
        """Return the delay before a task is placed again."""


class BudgetedRetries:
    """Limits retries to a share of first attempts, with jittered backoff."""

    def __init__(self, source: random.Random, limits: Limits) -> None:
        """Create a full budget; jitter is drawn from a seeded source."""
        self._source = source
        self._limits = limits
        self._tokens = _BURST_RETRIES

    @property
    def tokens(self) -> float:
        """Return the number of retries left in the budget."""
        return self._tokens

    def configure(self, limits: Limits) -> None:
        """Apply changed limits."""
        self._limits = limits

    def record_first_attempt(self) -> None:
        """Add ``retry_budget_share`` of a retry to the budget."""
        earned = self._tokens + self._limits.retry_budget_share
        self._tokens = min(_BURST_RETRIES, earned)

    def refusal(
        self,
        task: WaitingTask,
        reason: FailureReason | None,
    ) -> Failure | None:
        """Return why a task is not retried, or spend one retry.

        The reason is that of the last refusal, or ``NO_RUNNER``, when the task
        may not be sent again; ``RETRY_BUDGET_SPENT`` without budget.
        """
        if not task.idempotent and task.attempt:
            return Failure(
                reason or FailureReason.NO_RUNNER,
                'a start was sent and the task is not idempotent',
            )
        if task.attempt >= self._limits.max_attempts:
            return Failure(
                reason or FailureReason.NO_RUNNER,
                'the task was refused at every attempt',
            )
        if self._tokens < 1:
            return Failure(FailureReason.RETRY_BUDGET_SPENT)
        self._tokens -= 1
        return None

    def delay_ms(self, task: WaitingTask) -> Milliseconds:
        """Return a jittered delay that doubles with each attempt."""
        doublings = max(0, task.attempt - 1)
        full_ms = min(
            self._limits.retry_backoff_max_ms,
            self._limits.retry_backoff_ms * 2**doublings,
        )
        return full_ms * self._source.uniform(0.5, 1)


class UnlimitedRetries:
    """Baseline that retries at once and without limit."""

    def configure(self, limits: Limits) -> None:
        """Ignore the limits."""

    def record_first_attempt(self) -> None:
        """Ignore the attempt."""

    def refusal(
        self,
        task: WaitingTask,
        reason: FailureReason | None,
    ) -> Failure | None:
        """Return ``None``, because every retry is allowed."""
        return _PERMITTED

    def delay_ms(self, task: WaitingTask) -> Milliseconds:
        """Return 0."""
        return 0
