"""Monotonic and wall clocks in milliseconds."""

from __future__ import annotations

from borageward.clock.clock import Clock, Milliseconds, SystemClock
from borageward.clock.suspend import BoottimeClock

__all__ = ('BoottimeClock', 'Clock', 'Milliseconds', 'SystemClock')
