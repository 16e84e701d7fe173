"""Announcement of a guard's address to the control replicas."""

from __future__ import annotations

import msgspec
import trio

from borageward.clock import Milliseconds
from borageward.discovery import ReplicaCaller, ReplicaFanout
from borageward.messages.discovery import (
    AnnounceGuard,
    Announced,
    GuardAddress,
)
from borageward.telemetry import EventLog

_INTERVAL_MS = 2000.0
# The values for unanswered calls apply until a replica answers, so that one
# that was down when it was first called is called again soon.
_UNANSWERED_INTERVAL_MS = 150.0
_TIMEOUT_MS = 700.0
_UNANSWERED_TIMEOUT_MS = 200.0
_MS_PER_SECOND = 1000.0


class GuardAnnouncer:
    """Announces a guard to every control replica, one trio task for each."""

    def __init__(
        self,
        guard: GuardAddress,
        seeds: tuple[str, ...],
        calls: ReplicaCaller,
        log: EventLog,
    ) -> None:
        """Prepare to announce to the seeds and the replicas they report.

        ``seeds`` are the addresses of the replicas known at the start.
        """
        self._request = AnnounceGuard(guard)
        self._replicas = ReplicaFanout(seeds, self._announce)
        self._calls = calls
        self._log = log
        self._changed = trio.Event()

    def set_endpoint(self, pool: str, labels: tuple[str, ...]) -> None:
        """Announce the pool and labels of the endpoint at once if changed."""
        announced = self._request.guard
        if (announced.pool, announced.labels) == (pool, labels):
            return
        self._request = AnnounceGuard(
            msgspec.structs.replace(announced, pool=pool, labels=labels),
        )
        self._changed.set()
        self._changed = trio.Event()

    def add_seeds(self, seeds: tuple[str, ...]) -> None:
        """Add replica addresses; known addresses are ignored."""
        self._replicas.add(seeds)

    async def run(self) -> None:
        """Repeat the announcement to all known replicas until cancelled."""
        await self._replicas.run()

    async def _announce(self, address: str) -> None:
        answered = False
        while True:
            changed = self._changed
            timeout_ms = _TIMEOUT_MS if answered else _UNANSWERED_TIMEOUT_MS
            reply = await self._calls.call(address, self._request, timeout_ms)
            if isinstance(reply, Announced):
                self.add_seeds(reply.replicas)
            if isinstance(reply, Announced) != answered:
                answered = not answered
                name = 'replica_regained' if answered else 'replica_lost'
                self._log.event(name, replica=address)
            interval_ms = _INTERVAL_MS if answered else _UNANSWERED_INTERVAL_MS
            await _wait(changed, interval_ms)


async def _wait(changed: trio.Event, timeout_ms: Milliseconds) -> None:
    with trio.move_on_after(timeout_ms / _MS_PER_SECOND):
        await changed.wait()
