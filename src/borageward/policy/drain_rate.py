"""Rate at which an entry sends work during a backlog."""

from __future__ import annotations

from borageward.clock import Milliseconds

# No rate is reported for shorter backlogs, because the first starts fill slots
# that were free.
_MIN_BACKLOG_MS = 200.0
# Starts older than this lose weight, so that the rate follows changes in the
# demand of other entries.
_WINDOW_MS = 1000.0


class DrainRate:
    """Measures the work sent per millisecond since a backlog began.

    Work is the expected run time of tasks in milliseconds.
    """

    def __init__(self) -> None:
        """Start without a backlog."""
        self._since_ms: Milliseconds | None = None
        self._sent_work_ms: Milliseconds = 0

    def sent(self, work_ms: Milliseconds) -> None:
        """Add the expected run time of a task that is sent."""
        self._sent_work_ms += work_ms

    def update(self, now_ms: Milliseconds, backlog: bool) -> None:
        """Record whether tasks are still waiting after a placement."""
        if not backlog:
            self._since_ms = None
            self._sent_work_ms = 0
            return
        if self._since_ms is None:
            self._since_ms = now_ms
            self._sent_work_ms = 0
        elif now_ms - self._since_ms > 2 * _WINDOW_MS:
            self._sent_work_ms *= _WINDOW_MS / (now_ms - self._since_ms)
            self._since_ms = now_ms - _WINDOW_MS

    def rate(self, now_ms: Milliseconds) -> float | None:
        """Return the measured rate, or ``None`` if the backlog is too short."""
        if self._since_ms is None:
            return None
        elapsed_ms = now_ms - self._since_ms
        if elapsed_ms < _MIN_BACKLOG_MS:
            return None
        return self._sent_work_ms / elapsed_ms
