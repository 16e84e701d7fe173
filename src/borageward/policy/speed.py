"""Speed of a runner, learnt from run times."""

from __future__ import annotations

from borageward.clock import Milliseconds

# Weight of one sample. About 100 samples are averaged, because run times vary
# by a factor of 20 within a kind.
_SAMPLE_WEIGHT = 0.01
# The initial speed of 1 has the weight of this many samples.
_PRIOR_SAMPLES = 5


class RunnerSpeed:
    """Smoothed ratio of the expected to the observed run time.

    The ratio of two sums that decay at the same rate is used, because a mean
    of ratios would be dominated by the shortest tasks.
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
        """Record the times of one task; times of 0 or less are ignored."""
        if expected_ms <= 0 or run_ms <= 0:
            return
        if not self._run_ms:
            self._expected_ms = expected_ms * _PRIOR_SAMPLES
            self._run_ms = expected_ms * _PRIOR_SAMPLES
        decay = 1 - _SAMPLE_WEIGHT
        self._expected_ms = decay * self._expected_ms + expected_ms
        self._run_ms = decay * self._run_ms + run_ms
