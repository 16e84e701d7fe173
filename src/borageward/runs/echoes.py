"""Handling of the time stamps that entries echo."""

from __future__ import annotations

from collections.abc import Callable

import trio

from borageward.clock import Clock, Milliseconds
from borageward.runs.sessions import ECHO_HOLD_MS, Session
from borageward.runs.supervisor import RunSupervisor
from borageward.runs.table import RunTable


class Echoes:
    """Extends the sessions of entries by the time stamps that they echo.

    An entry that stood still may return a stamp shortly before it stops runs
    whose callers have left meanwhile. The guard cannot take back a lease that
    it grants in between, so the limit on the runs is extended a moment later.
    """

    def __init__(
        self,
        table: RunTable,
        clock: Clock,
        find_supervisor: Callable[[], RunSupervisor | None],
    ) -> None:
        """Use the runs of a guard and the supervisor that it has then."""
        self._table = table
        self._clock = clock
        self._find_supervisor = find_supervisor
        self._nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Settle echoes in a nursery that outlives the links of entries.

        A link that breaks before its echo is settled must not cost the time
        until the next echo: the lease may end meanwhile.
        """
        self._nursery = nursery

    def extend(self, session: Session, echoed_ms: Milliseconds) -> None:
        """Extend a session."""
        begins_hold = session.extend(
            echoed_ms,
            self._clock.now_ms(),
            has_runs=any(
                run.occupies_endpoint
                for run in self._table.of_session(session.entry)
            ),
        )
        if begins_hold and self._nursery is not None:
            self._nursery.start_soon(self._settle_later, session)

    async def _settle_later(self, session: Session) -> None:
        """Settle echoes that were held back, and renew the lease by them."""
        await self._clock.sleep_ms(ECHO_HOLD_MS)
        session.settle(self._clock.now_ms())
        supervisor = self._find_supervisor()
        if supervisor is not None:
            supervisor.admit()
            await supervisor.poll_now()
