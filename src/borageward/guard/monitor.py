"""Monitor of the runner by its status."""

from __future__ import annotations

from borageward.clock import Clock
from borageward.guard.runnerclient import RunnerClient

STATUS_INTERVAL_MS = 1000.0
# One lost status must not end the guard's incarnation.
FAILURES_BEFORE_LEAVING = 3


class RunnerMonitor:
    """Counts consecutive statuses that the runner did not answer."""

    def __init__(self, runner: RunnerClient, clock: Clock) -> None:
        """Prepare a monitor of a runner that has not answered yet."""
        self._runner = runner
        self._clock = clock
        self._failures = FAILURES_BEFORE_LEAVING

    @property
    def ready(self) -> bool:
        """Tell whether the runner answered lately."""
        return self._failures < FAILURES_BEFORE_LEAVING

    async def check(self) -> None:
        """Ask for the status once."""
        if await self._runner.answers():
            self._failures = 0
        else:
            self._failures += 1

    async def pause(self) -> None:
        """Wait until the next status is due."""
        await self._clock.sleep_ms(STATUS_INTERVAL_MS)
