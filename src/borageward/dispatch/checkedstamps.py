"""Time stamps of a guard that an entry had at its last checks."""

from __future__ import annotations

from borageward.clock import Milliseconds

# Checks that follow each other sooner count as one: after a standstill of the
# process, several may come before the events that have waited are handled.
_MIN_CHECK_INTERVAL_MS = 50.0


class CheckedStamps:
    """Newest time stamps of a guard at the last two checks of its link.

    An entry that stood still handles what happened meanwhile only after its
    first check. What happened before the check before the last one has been
    handled in any case.
    """

    def __init__(self) -> None:
        """Start without a stamp."""
        self._checked_ms: Milliseconds = 0
        self._last_ms: Milliseconds = 0
        self._noticed_ms: Milliseconds = 0

    @property
    def noticed_ms(self) -> Milliseconds:
        """Return a stamp received before any event that is not yet handled.

        Zero before the first state.
        """
        return self._noticed_ms

    def begin(self, now_ms: Milliseconds, stamp_ms: Milliseconds) -> None:
        """Record the stamp of the first state."""
        if not self._noticed_ms:
            self._checked_ms = now_ms
            self._last_ms = stamp_ms
            self._noticed_ms = stamp_ms

    def record(self, now_ms: Milliseconds, stamp_ms: Milliseconds) -> None:
        """Record the newest stamp at a check."""
        if now_ms - self._checked_ms >= _MIN_CHECK_INTERVAL_MS:
            self._checked_ms = now_ms
            self._noticed_ms = self._last_ms
            self._last_ms = stamp_ms
