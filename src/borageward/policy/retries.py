"""Retries of tasks that provably did not run."""

from __future__ import annotations

import random
from typing import Protocol

from borageward.clock import Milliseconds
from borageward.configuration import Limits
from borageward.failures import Failure, FailureReason
from borageward.policy.dispatch import WaitingTask

# Retries saved up while none were needed; covers the starts that cross a
# guard's announcement that it is leaving.
_BURST_RETRIES = 50.0
_PERMITTED: Failure | None = None


class RetryPolicy(Protocol):
    """Decides whether and when a task is placed again."""

    def configure(self, limits: Limits) -> None:
        """Use new limits."""

    def record_first_attempt(self) -> None:
        """Count a first placement."""

    def refusal(
        self,
        task: WaitingTask,
        reason: FailureReason | None,
    ) -> Failure | None:
        """Return why a task is not placed again, or nothing."""

    def delay_ms(self, task: WaitingTask) -> Milliseconds:
        """Return how long a task waits before it is placed again."""


class BudgetedRetries:
    """Retries as a share of fresh work, with jittered backoff."""

    def __init__(self, source: random.Random, limits: Limits) -> None:
        """Take jitter from a seeded source."""
        self._source = source
        self._limits = limits
        self._tokens = _BURST_RETRIES

    @property
    def tokens(self) -> float:
        """Return the number of retries that the budget allows now."""
        return self._tokens

    def configure(self, limits: Limits) -> None:
        """Use new limits."""
        self._limits = limits

    def record_first_attempt(self) -> None:
        """Earn the budget's share of a retry."""
        earned = self._tokens + self._limits.retry_budget_share
        self._tokens = min(_BURST_RETRIES, earned)

    def refusal(
        self,
        task: WaitingTask,
        reason: FailureReason | None,
    ) -> Failure | None:
        """Return why a task is not placed again, or spend one retry."""
        if not task.idempotent and task.attempt:
            return Failure(
                reason or FailureReason.NO_RUNNER,
                'a start was sent and the task is not idempotent',
            )
        if task.attempt >= self._limits.max_attempts:
            return Failure(
                reason or FailureReason.NO_RUNNER,
                'the task was refused at each attempt',
            )
        if self._tokens < 1:
            return Failure(FailureReason.RETRY_BUDGET_SPENT)
        self._tokens -= 1
        return None

    def delay_ms(self, task: WaitingTask) -> Milliseconds:
        """Return a delay between half and all of the doubled base."""
        doublings = max(0, task.attempt - 1)
        full_ms = min(
            self._limits.retry_backoff_max_ms,
            self._limits.retry_backoff_ms * 2**doublings,
        )
        return full_ms * self._source.uniform(0.5, 1)


class UnlimitedRetries:
    """Baseline: place again at once, as often as it takes."""

    def configure(self, limits: Limits) -> None:
        """Use no limit."""

    def record_first_attempt(self) -> None:
        """Count nothing."""

    def refusal(
        self,
        task: WaitingTask,
        reason: FailureReason | None,
    ) -> Failure | None:
        """Return nothing."""
        return _PERMITTED

    def delay_ms(self, task: WaitingTask) -> Milliseconds:
        """Return no delay."""
        return 0
