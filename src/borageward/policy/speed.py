"""Learnt speed of a runner."""

from __future__ import annotations

from borageward.clock import Milliseconds

# Weight of one sample; run times vary by a factor of 20 within a kind, so
# about a hundred samples are averaged.
_SAMPLE_WEIGHT = 0.01
# Samples that the starting value of 1 counts for.
_PRIOR_SAMPLES = 5


class RunnerSpeed:
    """Ratio of the expected to the observed run time, smoothed.

    Both sums decay at the same rate, so a ratio of sums is kept: a mean of
    ratios would be dominated by the shortest tasks.
    """

    def __init__(self) -> None:
        """Start at the average speed, 1."""
        self._expected_ms: Milliseconds = 0
        self._run_ms: Milliseconds = 0

    @property
    def value(self) -> float:
        """Return the speed; 1 is that of the average runner."""
        if not self._run_ms:
            return 1.0
        return self._expected_ms / self._run_ms

    def observe(self, expected_ms: Milliseconds, run_ms: Milliseconds) -> None:
        """Learn from one task."""
        if expected_ms <= 0 or run_ms <= 0:
            return
        if not self._run_ms:
            self._expected_ms = expected_ms * _PRIOR_SAMPLES
            self._run_ms = expected_ms * _PRIOR_SAMPLES
        keep = 1 - _SAMPLE_WEIGHT
        self._expected_ms = keep * self._expected_ms + expected_ms
        self._run_ms = keep * self._run_ms + run_ms
