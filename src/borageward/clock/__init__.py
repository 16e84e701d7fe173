"""Time in milliseconds."""

from __future__ import annotations

from borageward.clock.clock import Clock, Milliseconds, SystemClock

__all__ = ('Clock', 'Milliseconds', 'SystemClock')
