"""Monitoring of the runner by periodic status requests."""

from __future__ import annotations

from borageward.clock import Clock
from borageward.guard.runnerclient import RunnerClient

STATUS_INTERVAL_MS = 1000.0
# One lost status request must not end the guard's incarnation.
FAILURES_BEFORE_LEAVING = 3


class RunnerMonitor:
    """Counts consecutive status requests that the runner did not answer."""

    def __init__(self, runner: RunnerClient, clock: Clock) -> None:
        """Create a monitor; the runner is not ready until it answers."""
        self._runner = runner
        self._clock = clock
        self._failures = FAILURES_BEFORE_LEAVING

    @property
    def ready(self) -> bool:
        """Return whether consecutive failures are below the limit."""
        return self._failures < FAILURES_BEFORE_LEAVING

    async def check(self) -> None:
        """Send one status request and count its result."""
        if await self._runner.probe_status():
            self._failures = 0
        else:
            self._failures += 1

    async def wait_until_due(self) -> None:
        """Wait until the next status request is due."""
        await self._clock.sleep_ms(STATUS_INTERVAL_MS)
