"""Admission of the waiting runs at an endpoint."""

from __future__ import annotations

from collections.abc import Iterator

from borageward.clock import Clock, Milliseconds
from borageward.runs.endpoint import Endpoint
from borageward.runs.lease import lease_limit_ms
from borageward.runs.table import Run, RunTable

# A start with a shorter lease might lapse before the lease is renewed.
MIN_START_LEASE_MS = 350.0
# Delay after an endpoint refused a start for lack of room although its status
# reported enough.
NO_ROOM_RETRY_MS = 20.0


def is_lease_limited(table: RunTable, now_ms: Milliseconds) -> bool:
    """Return whether the longest lease is too short for a start."""
    return lease_limit_ms(table, now_ms) < MIN_START_LEASE_MS


def accepts_starts(
    endpoint: Endpoint,
    table: RunTable,
    now_ms: Milliseconds,
) -> bool:
    """Return whether runs may start at an endpoint.

    None may while the lease is limited to less than a start needs.
    """
    return endpoint.accepting and not is_lease_limited(table, now_ms)


class RunAdmission:
    """Decides which waiting runs start and which are refused."""

    def __init__(
        self,
        endpoint: Endpoint,
        table: RunTable,
        clock: Clock,
    ) -> None:
        """Decide on the waiting runs of a table at an endpoint."""
        self._endpoint = endpoint
        self._table = table
        self._clock = clock
        self._no_room_until_ms: Milliseconds = 0

    def record_no_room(self) -> None:
        """Let no run start for a moment: the endpoint had no room."""
        self._no_room_until_ms = self._clock.now_ms() + NO_ROOM_RETRY_MS

    def refusals(self) -> Iterator[tuple[Run, str]]:
        """Yield the waiting runs to refuse, each with the reason.

        If the endpoint does not accept runs, these are all waiting ones, and
        otherwise those for which its capacity has shrunk too far or whose
        session has expired: after a freeze of the guard, runs may be admitted
        before the expiry of the session is handled.
        """
        if not self._endpoint.accepting:
            for refused in self._table.waiting():
                yield refused, 'endpoint does not accept runs'
            return
        for unfit in self._table.unfit(self._endpoint.status.capacity):
            yield unfit, 'capacity has shrunk'
        for lapsed in self._table.lapsed(self._clock.now_ms()):
            yield lapsed, 'session has expired'

    def startable(self) -> list[Run]:
        """Return the waiting runs to start, by rank until one does not fit.

        While a stop without a confirmation limits the lease, none starts. A
        run whose entry has echoed no recent state waits and keeps no room: the
        echoes of a slow entry may all be too old.
        """
        now_ms = self._clock.now_ms()
        if now_ms < self._no_room_until_ms:
            return []
        if not accepts_starts(self._endpoint, self._table, now_ms):
            return []
        capacity = self._endpoint.status.capacity
        room = capacity.minus(self._table.occupied())
        startable = []
        for run in self._table.waiting():
            if not run.demand.fits(room):
                break
            if self._may_take_lease(run):
                room = room.minus(run.demand)
                startable.append(run)
        return startable

    def _may_take_lease(self, run: Run) -> bool:
        """Return whether a run need not end before the lease in force does.

        The endpoint never shortens its lease, which may have been granted for
        runs of other entries. The time is read last: the process may stand
        still after the lease was looked at.
        """
        lease_ms = max(self._endpoint.lease_left_ms(), MIN_START_LEASE_MS)
        return run.authority.run_limit_ms >= self._clock.now_ms() + lease_ms
