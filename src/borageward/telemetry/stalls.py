"""Reports that the process stood still or its host was suspended."""

from __future__ import annotations

from borageward.clock import Clock, Milliseconds
from borageward.telemetry.log import EventLog

_CHECK_INTERVAL_MS = 250.0
# Shorter delays come from a busy processor. The leases and sessions of a guard
# last several times as long.
_REPORTED_STALL_MS = 200.0


class StallReporter:
    """Compares two clocks at intervals and logs each long delay.

    A clock that goes on while the host is suspended tells a suspension, during
    which timers stand still as well, from a process that did not run.
    """

    def __init__(
        self, clock: Clock, steady_clock: Clock, log: EventLog
    ) -> None:
        """Prepare the reporter.

        ``clock`` must count the time in which the host was suspended,
        ``steady_clock`` must not.
        """
        self._clock = clock
        self._steady_clock = steady_clock
        self._log = log

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            started_ms = self._clock.now_ms()
            steady_ms = self._steady_clock.now_ms()
            await self._steady_clock.sleep_ms(_CHECK_INTERVAL_MS)
            elapsed_ms = self._clock.now_ms() - started_ms
            self._report(
                elapsed_ms - _CHECK_INTERVAL_MS,
                elapsed_ms - (self._steady_clock.now_ms() - steady_ms),
            )

    def _report(
        self, stalled_ms: Milliseconds, suspended_ms: Milliseconds
    ) -> None:
        if stalled_ms < _REPORTED_STALL_MS:
            return
        self._log.warning(
            'process_stalled',
            stalled_ms=round(stalled_ms),
            suspended_ms=round(max(0, suspended_ms)),
        )
