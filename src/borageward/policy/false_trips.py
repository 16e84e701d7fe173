"""Rate at which a healthy worker reaches the failure limit by chance."""

from __future__ import annotations

import math

_SECONDS_PER_DAY = 86_400


def crossings_per_start(
    window: int,
    failures: int,
    failure_share: float,
) -> float:
    """Return the probability that a start makes a window reach the limit.

    The window slides by one outcome at each start. It reaches ``failures``
    when a failure enters and a success leaves while the other outcomes contain
    one failure fewer. Failures are assumed to be independent.
    """
    other_starts = window - 1
    other_failures = failures - 1
    other_successes = other_starts - other_failures
    failures_term = (
        math.comb(other_starts, other_failures) * failure_share**other_failures
    )
    success_share = 1 - failure_share
    others_probability = failures_term * success_share**other_successes
    return others_probability * failure_share * success_share


def false_trips_per_day(
    window: int,
    failures: int,
    failure_share: float,
    starts_per_second: float,
) -> float:
    """Return the expected false ejections of one healthy worker per day."""
    starts = starts_per_second * _SECONDS_PER_DAY
    return starts * crossings_per_start(window, failures, failure_share)
