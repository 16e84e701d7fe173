"""Computed rate at which a healthy worker crosses a failure window."""

from __future__ import annotations

import math

_SECONDS_PER_DAY = 86_400


def crossings_per_start(
    window: int,
    failures: int,
    failure_share: float,
) -> float:
    """Return how often a sliding window reaches a number of failures.

    The window is evaluated at each start. It is crossed when a failure enters
    and a success leaves while the others hold one failure fewer than needed.
    Failures are taken as independent.
    """
    inside = window - 1
    held = failures - 1
    passed = inside - held
    tail = math.comb(inside, held) * failure_share**held
    success_share = 1 - failure_share
    others = tail * success_share**passed
    return others * failure_share * success_share


def false_trips_per_day(
    window: int,
    failures: int,
    failure_share: float,
    starts_per_second: float,
) -> float:
    """Return the false trips of one healthy worker in a day."""
    starts = starts_per_second * _SECONDS_PER_DAY
    return starts * crossings_per_start(window, failures, failure_share)
