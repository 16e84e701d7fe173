"""Stall detection and run-time projection from the progress of runs."""

from __future__ import annotations

from collections.abc import Iterable

from borageward.clock import Milliseconds
from borageward.runs.table import Run, RunState

# A run without progress for this share of its estimated run time is stalled.
_STALL_SHARE = 0.3
_MIN_STALL_MS = 450.0
_MIN_PERCENT = 15.0
_COMPLETE_PERCENT = 100.0


def is_stalled(run: Run, now_ms: Milliseconds) -> bool:
    """Return whether a running task has made no progress for too long."""
    if run.state is not RunState.RUNNING:
        return False
    allowed_ms = max(_MIN_STALL_MS, run.estimate_ms * _STALL_SHARE)
    return now_ms - run.progress_ms > allowed_ms


def projected_ratios(
    runs: Iterable[Run],
    now_ms: Milliseconds,
) -> list[float]:
    """Return the ratios of projected to estimated run time of active runs.

    Runs with too little progress for a projection are left out.
    """
    ratios = []
    for run in runs:
        if run.state is not RunState.RUNNING or run.percent < _MIN_PERCENT:
            continue
        # The percentage dates from the last change of the progress.
        elapsed_ms = min(now_ms, run.progress_ms) - run.confirmed_ms
        projected_ms = elapsed_ms * _COMPLETE_PERCENT / run.percent
        ratios.append(projected_ms / max(1, run.estimate_ms))
    return ratios
