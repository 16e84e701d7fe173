"""Announcement of a guard's address to the control replicas."""

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
# The values for unanswered calls apply until a replica answers, so that one
# that was down when it was first called is called again soon.
_UNANSWERED_INTERVAL_MS = 150.0
_TIMEOUT_MS = 700.0
_UNANSWERED_TIMEOUT_MS = 200.0


class GuardAnnouncer:
    """Announces a guard to every control replica, one trio task for each."""

    def __init__(
        self,
        guard: GuardAddress,
        seeds: tuple[str, ...],
        calls: ReplicaCaller,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Prepare to announce to the seeds and the replicas they report.

        ``seeds`` are the addresses of the replicas known at the start.
        """
        self._request = AnnounceGuard(guard)
        self._replicas = ReplicaFanout(seeds, self._announce, clock)
        self._calls = calls
        self._clock = clock
        self._log = log

    def add_seeds(self, seeds: tuple[str, ...]) -> None:
        """Add replica addresses; known addresses are ignored."""
        self._replicas.add(seeds)

    async def run(self) -> None:
        """Repeat the announcement to all known replicas until cancelled."""
        await self._replicas.run()

    async def _announce(self, address: str) -> None:
        answered = False
        while True:
            timeout_ms = _TIMEOUT_MS if answered else _UNANSWERED_TIMEOUT_MS
            reply = await self._calls.call(address, self._request, timeout_ms)
            if isinstance(reply, Announced):
                self.add_seeds(reply.replicas)
            if isinstance(reply, Announced) != answered:
                answered = not answered
                name = 'replica_regained' if answered else 'replica_lost'
                self._log.event(name, replica=address)
            interval_ms = _INTERVAL_MS if answered else _UNANSWERED_INTERVAL_MS
            await self._clock.sleep_ms(interval_ms)
