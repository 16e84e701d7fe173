"""Clock that counts the time during which the host is suspended."""

from __future__ import annotations

import time

import trio

from borageward.clock.clock import Milliseconds

_MS_PER_SECOND = 1000.0
_NS_PER_MS = 1_000_000


class BoottimeClock:
    """Clock whose monotonic time advances while the host is suspended.

    Leases measured by it expire during a suspension, so a resumed process does
    not act on them. ``sleep_ms`` does not count the time of a suspension and
    returns later accordingly.
    """

    def now_ms(self) -> Milliseconds:
        """Return the time since boot in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / _NS_PER_MS

    def wall_ms(self) -> int:
        """Return the wall time in milliseconds since the Unix epoch."""
        return time.time_ns() // _NS_PER_MS

    async def sleep_ms(self, duration_ms: Milliseconds) -> None:
        """Sleep for a duration in milliseconds."""
        await trio.sleep(max(0, duration_ms) / _MS_PER_SECOND)
