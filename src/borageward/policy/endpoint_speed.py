"""Estimates of the slowness and the failure share of an endpoint."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence

# Weight of one completed run in the moving average.
_RUN_WEIGHT = 0.08
_MIN_RATIO = 0.05
_MAX_RATIO = 50.0
# Runs in progress count only from this number on, because a single one may be
# an outlier.
_MIN_PROJECTIONS = 2
# Factor on the median of the projected ratios.
_PROJECTION_FACTOR = 0.8
# Weight of one run in the moving share of failures.
_FAILURE_WEIGHT = 0.15


class SlownessEstimate:
    """Moving geometric mean of the observed over the estimated run time.

    Callers' estimates of single tasks are far off, but equally so on all
    endpoints, so only the ratio between two endpoints is meaningful.
    """

    def __init__(self) -> None:
        """Start at the nominal speed, a slowness of 1."""
        self._log_mean: float = 0
        self._projected_ratio: float = 0

    @property
    def slowness(self) -> float:
        """Return the slowness; 1 is the nominal speed, 2 half of it."""
        return max(math.exp(self._log_mean), self._projected_ratio)

    def observe(self, run_ms: float, estimate_ms: float) -> None:
        """Record the run time of a completed run."""
        ratio = _bounded(run_ms / max(1, estimate_ms))
        self._log_mean += _RUN_WEIGHT * (math.log(ratio) - self._log_mean)

    def project(self, ratios: Sequence[float]) -> None:
        """Replace the projected ratios of the runs in progress."""
        self._projected_ratio = 0
        if len(ratios) >= _MIN_PROJECTIONS:
            median_ratio = statistics.median(ratios)
            self._projected_ratio = _PROJECTION_FACTOR * _bounded(median_ratio)


class FailureShare:
    """Moving share of failed runs.

    Repeated failures of a job count once until another job fails: a job that
    cannot succeed fails on every endpoint, so its failures say nothing about
    this one.
    """

    def __init__(self) -> None:
        """Start without failures."""
        self._share: float = 0
        self._last_job = ''

    @property
    def share(self) -> float:
        """Return the share of failed runs, from 0 to 1."""
        return self._share

    def observe(self, job_id: str, *, failed: bool) -> None:
        """Record the outcome of a run."""
        if failed and job_id == self._last_job:
            return
        if failed:
            self._last_job = job_id
        self._share += _FAILURE_WEIGHT * (failed - self._share)


def _bounded(ratio: float) -> float:
    return min(_MAX_RATIO, max(_MIN_RATIO, ratio))
