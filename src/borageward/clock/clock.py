"""The clock that all modules take their time from, in milliseconds."""

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
        """Return the monotonic time in milliseconds."""

    def wall_ms(self) -> int:
        """Return the wall time in milliseconds since the Unix epoch."""

    async def sleep_ms(self, duration_ms: Milliseconds) -> None:
        """Sleep for a duration in milliseconds."""


class SystemClock:
    """Clock of the process.

    Monotonic time comes from trio, so that trio's virtual clock drives it in
    tests.
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
