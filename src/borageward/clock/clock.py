"""Clock interface of all modules, and the clock of a normal process."""

from __future__ import annotations

import time
from typing import Protocol, TypeAlias

import trio

Milliseconds: TypeAlias = float

_MS_PER_SECOND = 1000.0
_NS_PER_MS = 1_000_000


class Clock(Protocol):
    """Source of monotonic and wall time."""

    def now_ms(self) -> Milliseconds:
        """Return the monotonic time, counted from an arbitrary start."""

    def wall_ms(self) -> int:
        """Return the wall time in milliseconds since the Unix epoch."""

    async def sleep_ms(self, duration_ms: Milliseconds) -> None:
        """Sleep for a duration in milliseconds."""


class SystemClock:
    """Clock that reads the monotonic time from trio.

    Tests control it by trio's virtual clock. It does not count the time during
    which the host is suspended.
    """

    def now_ms(self) -> Milliseconds:
        """Return the monotonic time in milliseconds."""
        return trio.current_time() * _MS_PER_SECOND

    def wall_ms(self) -> int:
        """Return the wall time in milliseconds since the Unix epoch."""
        return time.time_ns() // _NS_PER_MS

    async def sleep_ms(self, duration_ms: Milliseconds) -> None:
        """Sleep for a duration in milliseconds."""
        await trio.sleep(max(0, duration_ms) / _MS_PER_SECOND)
