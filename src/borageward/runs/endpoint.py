"""One incarnation of the endpoint: its clock, fence and capacity."""

from __future__ import annotations

from borageward.clock import Clock, Milliseconds
from borageward.runs.port import EndpointPort, EndpointStatus

# The endpoint's clock may be 2% slow, so a lease is asked for a little less.
_CLOCK_MARGIN = 0.97
# An endpoint that answered nothing for this time is unreachable once a call to
# it fails. A single call without an answer is no sign of that.
_SILENCE_MS = 500.0
# Leases are extended only while the last answer is younger than this. A busy
# endpoint is asked each 250 ms.
_FRESH_MS = 400.0
# What runs when a lease lapses may take this long to end.
_STOP_MARGIN_MS = 60.0


class Endpoint:
    """What the guard knows of the endpoint's present incarnation.

    The fence is the endpoint's own clock as this guard first saw it, so a
    guard that starts later has a higher one and voids the orders of its
    predecessor that are still on their way.
    """

    def __init__(
        self,
        status: EndpointStatus,
        port: EndpointPort,
        clock: Clock,
    ) -> None:
        """Prepare for an incarnation that was just announced.

        ``clock`` must not count the time in which the host was suspended: the
        endpoint's clock may have stood still meanwhile, and an estimate beyond
        it would take runs for lapsed that still work.
        """
        self._status = status
        self._port = port
        self._clock = clock
        self._clock_ms: Milliseconds = 0
        self._read_ms: Milliseconds = 0
        self._fence = 0
        self._granted_ms = 0
        self._answered_ms: Milliseconds = clock.now_ms()
        self._reachable = True
        # Ends up to this number were handled.
        self.seen_end = 0
        self.left = False
        # This guard is about to stop.
        self.draining = False

    @property
    def status(self) -> EndpointStatus:
        """Return the newest status."""
        return self._status

    @property
    def port(self) -> EndpointPort:
        """Return the calls to this incarnation."""
        return self._port

    @property
    def fence(self) -> int:
        """Return the fence of this guard, or zero before the first reply."""
        return self._fence

    @property
    def is_ready(self) -> bool:
        """Tell whether the clock is known."""
        return self._fence > 0

    @property
    def reachable(self) -> bool:
        """Tell whether the endpoint answers."""
        return self._reachable

    @property
    def is_fresh(self) -> bool:
        """Tell whether the endpoint answered lately."""
        return self._clock.now_ms() - self._answered_ms < _FRESH_MS

    @property
    def accepting(self) -> bool:
        """Tell whether new runs may start."""
        if self.left or self.draining or self._status.draining:
            return False
        return self.is_ready and self._reachable

    def update(self, status: EndpointStatus) -> bool:
        """Take a newer status; false for a late one."""
        if status.sequence < self._status.sequence:
            return False
        self._status = status
        return True

    def read_clock(self, clock_ms: int) -> None:
        """Note a reading of the endpoint's clock; late ones are ignored."""
        if self.estimated_ms() >= clock_ms and self._read_ms:
            return
        self._clock_ms = clock_ms
        self._read_ms = self._clock.now_ms()

    def note_answered(self) -> bool:
        """Note an answer; true when the endpoint was unreachable."""
        regained = not self._reachable
        self._answered_ms = self._clock.now_ms()
        self._reachable = True
        return regained

    def note_unanswered(self) -> bool:
        """Note a call without an answer; true when that is one too many."""
        silent_ms = self._clock.now_ms() - self._answered_ms
        lost = self._reachable and silent_ms > _SILENCE_MS
        if lost:
            self._reachable = False
        return lost

    def take_fence(self) -> None:
        """Use the endpoint's clock as the fence from now on."""
        self._fence = max(self._fence + 1, int(self.estimated_ms()))

    def estimated_ms(self) -> Milliseconds:
        """Return the endpoint's clock, at most its true value."""
        elapsed_ms = self._clock.now_ms() - self._read_ms
        return self._clock_ms + elapsed_ms * _CLOCK_MARGIN

    def grant_lease(self, duration_ms: Milliseconds) -> int:
        """Return the endpoint's time after a duration, as the end of a lease.

        A call with an earlier end is void once that time has passed there.
        """
        lease_end_ms = int(self.estimated_ms() + duration_ms * _CLOCK_MARGIN)
        self._granted_ms = max(self._granted_ms, lease_end_ms)
        return lease_end_ms

    def has_lapsed(self) -> bool:
        """Tell whether all leases have passed, so that nothing can run."""
        return self.estimated_ms() > self._granted_ms + _STOP_MARGIN_MS
