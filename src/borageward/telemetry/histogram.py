"""Counts of observations in the buckets of a latency histogram."""

from __future__ import annotations

import bisect
import itertools

_BOUNDS_MS = tuple(
    base * scale for scale in (1, 10, 100, 1000) for base in (1, 2, 5)
)


class LatencyHistogram:
    """Latencies in milliseconds, counted by bucket."""

    def __init__(self) -> None:
        """Start without observations."""
        self._counts = [0 for _ in range(len(_BOUNDS_MS) + 1)]
        self._sum_ms: float = 0

    @property
    def sum_ms(self) -> float:
        """Return the sum of all observations."""
        return self._sum_ms

    def observe(self, latency_ms: float) -> None:
        """Count one observation."""
        self._counts[bisect.bisect_left(_BOUNDS_MS, latency_ms)] += 1
        self._sum_ms += latency_ms

    def buckets(self) -> list[tuple[str, float]]:
        """Return upper bounds and cumulative counts; the last is infinite."""
        bounds = [*(str(float(bound)) for bound in _BOUNDS_MS), '+Inf']
        counts = map(float, itertools.accumulate(self._counts))
        return list(zip(bounds, counts, strict=True))
