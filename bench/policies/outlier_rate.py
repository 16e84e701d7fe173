"""Simulated false ejections, to check the formula and the detector."""

from __future__ import annotations

import itertools
import random
from collections import deque

from borageward.configuration import Limits
from borageward.policy.false_trips import crossings_per_start
from borageward.policy.outliers import PeerOutlierDetector

FAILURE_SHARE = 0.05
WORKERS = 10


def crossings(window: int, failures: int, starts: int, seed: int) -> int:
    """Count how often a sliding window of starts reaches ``failures``.

    Each start fails independently with probability ``FAILURE_SHARE``.
    """
    source = random.Random(seed)
    outcomes: deque[bool] = deque(
        itertools.repeat(False, window),
        maxlen=window,
    )
    window_failures, crossing_count = 0, 0
    for _ in range(starts):
        failed = source.random() < FAILURE_SHARE
        previous = window_failures
        window_failures += failed - outcomes[0]
        outcomes.append(failed)
        if previous < failures <= window_failures:
            crossing_count += 1
    return crossing_count


def check_formula(starts: int, seed: int) -> list[tuple[int, int, int, int]]:
    """Compare the formula with a simulation for several limits.

    Returns rows of window, failures, computed and simulated crossings.
    """
    return [
        (
            window,
            failures,
            round(
                starts * crossings_per_start(window, failures, FAILURE_SHARE),
            ),
            crossings(window, failures, starts, seed),
        )
        for window, failures in ((20, 4), (20, 5), (24, 5), (24, 6))
    ]


def detector_ejections(starts: int, seed: int) -> int:
    """Count the detector's ejections among equally healthy workers.

    The starts are 5 ms apart and fail with probability ``FAILURE_SHARE``.
    """
    source = random.Random(seed)
    detector = PeerOutlierDetector(source, Limits())
    for number in range(starts):
        worker = f'worker-{source.randrange(WORKERS)}'
        failed = source.random() < FAILURE_SHARE
        job_id = (number // 20).to_bytes(16, 'big')
        detector.record(worker, job_id, failed, number * 5)
    return detector.ejection_count
