"""Admission of jobs by the predicted wait against the deadline."""

from __future__ import annotations

from typing import Protocol

import attrs

from borageward.clock import Milliseconds
from borageward.configuration import Limits
from borageward.failures import Failure, FailureReason

_LEAST_RATE = 0.001
_PACE_LEAST = 0.3
_PACE_DECREASE = 0.8
_PACE_INCREASE = 0.002
# Deadlines that pass together are one sign of overload, not many.
_DECREASE_INTERVAL_MS = 250


@attrs.frozen(slots=True)
class AdmissionContext:
    """What an admission decision may look at.

    Work is run time at speed 1. ``rate`` is the work that is done in a
    millisecond for this service, ``total_rate`` that for all services.
    ``tail_ms`` is a high quantile of the run time of the slowest kind.
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

    def decide(self, scene: AdmissionContext, limits: Limits) -> Failure | None:
        """Return why a job is refused, or nothing."""

    def deadline_missed(self, now_ms: Milliseconds) -> None:
        """Learn that admitted work missed its deadline."""

    def deadline_met(self) -> None:
        """Learn that admitted work finished in time."""


class PredictedWaitAdmission:
    """Refuse what the predicted wait would make late.

    The predicted rate is scaled by a pace that falls when admitted work
    misses its deadline and rises slowly while work finishes in time.
    """

    def __init__(self) -> None:
        """Start with full trust in the predicted rate."""
        self._pace = 1.0
        self._decreased_ms = float('-inf')

    @property
    def pace(self) -> float:
        """Return the share of the predicted rate that is relied on."""
        return self._pace

    def decide(self, scene: AdmissionContext, limits: Limits) -> Failure | None:
        """Return ``OVERLOADED`` or ``QUOTA_EXCEEDED``, or nothing."""
        if scene.queued_tasks + scene.job_tasks > limits.max_queued_tasks:
            return Failure(FailureReason.OVERLOADED, 'queue is full')
        if self._fits(scene, limits, scene.rate):
            return None
        if self._fits(scene, limits, scene.total_rate):
            return Failure(
                FailureReason.QUOTA_EXCEEDED,
                'the service uses its share of the runners',
            )
        return Failure(FailureReason.OVERLOADED, 'predicted wait is too long')

    def deadline_missed(self, now_ms: Milliseconds) -> None:
        """Rely on less; at most once in an interval."""
        if now_ms - self._decreased_ms < _DECREASE_INTERVAL_MS:
            return
        self._decreased_ms = now_ms
        self._pace = max(_PACE_LEAST, self._pace * _PACE_DECREASE)

    def deadline_met(self) -> None:
        """Rely on a little more."""
        self._pace = min(1.0, self._pace + _PACE_INCREASE)

    def _fits(
        self,
        scene: AdmissionContext,
        limits: Limits,
        rate: float,
    ) -> bool:
        trusted = max(rate * self._pace, _LEAST_RATE)
        wait_ms = scene.ahead_ms / trusted
        if wait_ms > limits.max_predicted_wait_ms and not scene.urgent:
            return False
        finish_ms = wait_ms + scene.job_work_ms / trusted + scene.tail_ms
        return finish_ms <= scene.remaining_ms * (1 - limits.admission_margin)


class QueueLengthAdmission:
    """Baseline: refuse only when the queue is full."""

    def decide(self, scene: AdmissionContext, limits: Limits) -> Failure | None:
        """Return ``OVERLOADED`` for a full queue, or nothing."""
        if scene.queued_tasks + scene.job_tasks > limits.max_queued_tasks:
            return Failure(FailureReason.OVERLOADED, 'queue is full')
        return None

    def deadline_missed(self, now_ms: Milliseconds) -> None:
        """Learn nothing."""

    def deadline_met(self) -> None:
        """Learn nothing."""
