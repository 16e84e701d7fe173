"""Processes of the model, which can freeze, run slowly and lose power."""

from __future__ import annotations

import trio

from borageward.clock import SystemClock
from borageward.telemetry import EventLog

_MS_PER_SECOND = 1000.0


class Process:
    """One life of an entry or a guard.

    Every call to the outside passes ``gate``. While the process is frozen, its
    clock goes on but no such call begins or returns. ``dark`` is set once its
    host has lost power: what it sends is dropped, and no link of it breaks.
    """

    def __init__(self, name, rng):
        """Start a life; delays of a slow process are drawn from ``rng``."""
        self.name = name
        self.scope = trio.CancelScope()
        self.alive = True
        self.dark = False
        self.clock = ProcessClock(self)
        self._rng = rng
        self._frozen_until: float = 0
        self._slow_until: float = 0
        self._slow_s: float = 0

    def freeze(self, duration_s):
        """Let the process do nothing for a duration."""
        until = trio.current_time() + duration_s
        self._frozen_until = max(self._frozen_until, until)

    def slow_down(self, duration_s, delay_s):
        """Delay each step of the process by up to ``delay_s``."""
        self._slow_until = trio.current_time() + duration_s
        self._slow_s = delay_s

    def end(self, *, dark=False):
        """Kill the process; its links break unless its host loses power."""
        self.alive = False
        self.dark = dark
        self.scope.cancel()

    async def gate(self):
        """Wait until the process may take its next step."""
        if trio.current_time() < self._slow_until:
            await trio.sleep(self._rng.uniform(0, self._slow_s))
        while trio.current_time() < self._frozen_until:
            await trio.sleep_until(self._frozen_until)


class ProcessClock(SystemClock):
    """Clock of one process; its sleeps end only while the process runs."""

    def __init__(self, process):
        """Use the gate of a process."""
        self._process = process

    async def sleep_ms(self, duration_ms):
        """Sleep for a duration in milliseconds."""
        await trio.sleep(max(0, duration_ms) / _MS_PER_SECOND)
        await self._process.gate()


class ProcessLog(EventLog):
    """Event log that passes the events of one process to the monitor."""

    def __init__(self, name, monitor):
        """Record events under the name of the process."""
        super().__init__()
        self._name = name
        self._monitor = monitor

    def event(self, name, **fields):
        """Record an event."""
        self._monitor.record(self._name, name, fields)

    def warning(self, name, **fields):
        """Record a warning."""
        self._monitor.record(self._name, name, fields)

    def debug(self, name, **fields):
        """Record a debug event."""
        self._monitor.record(self._name, name, fields)
