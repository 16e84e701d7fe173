"""Rate at which an entry's queue drains while it holds work back."""

from __future__ import annotations

from borageward.clock import Milliseconds

# Shorter backlogs do not tell a rate, because the first starts fill slots
# that were free.
_LEAST_BACKLOG_MS = 200.0
# Older starts lose weight, so that the rate follows the other entries' demand.
_WINDOW_MS = 1000.0


class DrainRate:
    """Work sent in a millisecond since the queue began to hold work back."""

    def __init__(self) -> None:
        """Start without a backlog."""
        self._since_ms: Milliseconds | None = None
        self._sent_ms: Milliseconds = 0

    def sent(self, work_ms: Milliseconds) -> None:
        """Count the expected run time of a task that is sent."""
        self._sent_ms += work_ms

    def update(self, now_ms: Milliseconds, backlog: bool) -> None:
        """Learn whether work is held back after placement."""
        if not backlog:
            self._since_ms = None
            self._sent_ms = 0
            return
        if self._since_ms is None:
            self._since_ms = now_ms
            self._sent_ms = 0
        elif now_ms - self._since_ms > 2 * _WINDOW_MS:
            self._sent_ms *= _WINDOW_MS / (now_ms - self._since_ms)
            self._since_ms = now_ms - _WINDOW_MS

    def rate(self, now_ms: Milliseconds) -> float | None:
        """Return the measured rate, or nothing without a lasting backlog."""
        if self._since_ms is None:
            return None
        elapsed_ms = now_ms - self._since_ms
        if elapsed_ms < _LEAST_BACKLOG_MS:
            return None
        return self._sent_ms / elapsed_ms
