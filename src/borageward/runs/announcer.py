"""Tells the control replicas where entries find this guard."""

from __future__ import annotations

from borageward.clock import Clock
from borageward.discovery import ReplicaCaller, ReplicaFanout
from borageward.messages.discovery import (
    AnnounceGuard,
    Announced,
    GuardAddress,
)
from borageward.telemetry import EventLog

_INTERVAL_MS = 1000.0
_FIRST_INTERVAL_MS = 150.0
_TIMEOUT_MS = 700.0
# A replica that was down when it was first called is called again soon.
_FIRST_TIMEOUT_MS = 200.0


class GuardAnnouncer:
    """Announces a guard to every control replica in a task of its own."""

    def __init__(
        self,
        guard: GuardAddress,
        seeds: tuple[str, ...],
        calls: ReplicaCaller,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Prepare to announce to the seeds and the replicas they name."""
        self._request = AnnounceGuard(guard)
        self._replicas = ReplicaFanout(seeds, self._announce, clock)
        self._calls = calls
        self._clock = clock
        self._log = log

    def add_seeds(self, seeds: tuple[str, ...]) -> None:
        """Announce to further replicas from now on."""
        self._replicas.add(seeds)

    async def run(self) -> None:
        """Announce until cancelled."""
        await self._replicas.run()

    async def _announce(self, address: str) -> None:
        answered = False
        while True:
            timeout_ms = _TIMEOUT_MS if answered else _FIRST_TIMEOUT_MS
            reply = await self._calls.call(address, self._request, timeout_ms)
            if isinstance(reply, Announced):
                self.add_seeds(reply.replicas)
            if isinstance(reply, Announced) != answered:
                answered = not answered
                name = 'replica_regained' if answered else 'replica_lost'
                self._log.event(name, replica=address)
            interval_ms = _INTERVAL_MS if answered else _FIRST_INTERVAL_MS
            await self._clock.sleep_ms(interval_ms)
