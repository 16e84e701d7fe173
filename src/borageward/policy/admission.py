"""Admission of jobs whose predicted wait allows them to meet the deadline."""

from __future__ import annotations

from typing import Protocol

import attrs

from borageward.clock import Milliseconds
from borageward.configuration import Limits
from borageward.failures import Failure, FailureReason

_MIN_RATE = 0.001
_MIN_RATE_FACTOR = 0.3
# A missed deadline multiplies the rate factor by the decrease; a deadline that
# is met adds the increase.
_RATE_FACTOR_DECREASE = 0.8
_RATE_FACTOR_INCREASE = 0.002
# Deadlines missed within this time count as a single sign of overload.
_DECREASE_INTERVAL_MS = 250


@attrs.frozen(slots=True)
class AdmissionContext:
    """Input of an admission decision.

    Work is measured as run time at speed 1: ``ahead_ms`` is the work served
    before the job, ``job_work_ms`` that of the job itself. ``rate`` is the work
    done per millisecond for the service of the job, ``total_rate`` that for
    all services. ``tail_ms`` is a high quantile of the run time of the job's
    slowest kind.
    """

    now_ms: Milliseconds
    queued_tasks: int
    job_tasks: int
    urgent: bool
    remaining_ms: Milliseconds
    ahead_ms: Milliseconds
    job_work_ms: Milliseconds
    tail_ms: Milliseconds
    rate: float
    total_rate: float


class Admission(Protocol):
    """Decides whether a job can be answered within its deadline."""

    def decide(
        self,
        context: AdmissionContext,
        limits: Limits,
    ) -> Failure | None:
        """Return the failure of a refused job, or ``None`` to admit it."""

    def deadline_missed(self, now_ms: Milliseconds) -> None:
        """Record that an admitted task missed its deadline."""

    def deadline_met(self) -> None:
        """Record that an admitted task finished in time."""


class PredictedWaitAdmission:
    """Refuses jobs that would miss their deadline after the predicted wait.

    The predicted rate is multiplied by a factor that falls when admitted tasks
    miss their deadline and rises slowly while tasks finish in time.
    """

    def __init__(self) -> None:
        """Start with a factor of 1."""
        self._rate_factor = 1.0
        self._last_decrease_ms = float('-inf')

    @property
    def rate_factor(self) -> float:
        """Return the factor on the predicted rate, at most 1."""
        return self._rate_factor

    def decide(
        self,
        context: AdmissionContext,
        limits: Limits,
    ) -> Failure | None:
        """Return ``OVERLOADED`` or ``QUOTA_EXCEEDED``, or ``None``.

        ``QUOTA_EXCEEDED`` means that the capacity of all services together
        would suffice for the job.
        """
        if context.queued_tasks + context.job_tasks > limits.max_queued_tasks:
            return Failure(
                FailureReason.OVERLOADED,
                'the queue would exceed max_queued_tasks',
            )
        if self._fits(context, limits, context.rate):
            return None
        if self._fits(context, limits, context.total_rate):
            return Failure(
                FailureReason.QUOTA_EXCEEDED,
                'the service has used up its share of the runners',
            )
        return Failure(
            FailureReason.OVERLOADED,
            'predicted wait is too long for the limit or the deadline',
        )

    def deadline_missed(self, now_ms: Milliseconds) -> None:
        """Lower the factor, at most once per interval."""
        if now_ms - self._last_decrease_ms < _DECREASE_INTERVAL_MS:
            return
        self._last_decrease_ms = now_ms
        self._rate_factor = max(
            _MIN_RATE_FACTOR,
            self._rate_factor * _RATE_FACTOR_DECREASE,
        )

    def deadline_met(self) -> None:
        """Raise the factor by a small step."""
        self._rate_factor = min(1.0, self._rate_factor + _RATE_FACTOR_INCREASE)

    def _fits(
        self,
        context: AdmissionContext,
        limits: Limits,
        rate: float,
    ) -> bool:
        effective_rate = max(rate * self._rate_factor, _MIN_RATE)
        wait_ms = context.ahead_ms / effective_rate
        if wait_ms > limits.max_predicted_wait_ms and not context.urgent:
            return False
        finish_ms = (
            wait_ms + context.job_work_ms / effective_rate + context.tail_ms
        )
        return finish_ms <= context.remaining_ms * (1 - limits.admission_margin)


class QueueLengthAdmission:
    """Baseline that refuses jobs only when the queue is full."""

    def decide(
        self,
        context: AdmissionContext,
        limits: Limits,
    ) -> Failure | None:
        """Return ``OVERLOADED`` for a full queue, or ``None``."""
        if context.queued_tasks + context.job_tasks > limits.max_queued_tasks:
            return Failure(
                FailureReason.OVERLOADED,
                'the queue would exceed max_queued_tasks',
            )
        return None

    def deadline_missed(self, now_ms: Milliseconds) -> None:
        """Ignore the deadline."""

    def deadline_met(self) -> None:
        """Ignore the deadline."""
