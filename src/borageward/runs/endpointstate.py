"""States of the endpoint as a guard sends them to entries."""

from __future__ import annotations

from borageward.clock import Clock, Milliseconds
from borageward.messages.runs import Demand, EndpointState
from borageward.runs.admission import accepts_starts
from borageward.runs.sessions import Session, SessionTable
from borageward.runs.supervisor import RunSupervisor
from borageward.runs.table import RunTable

# Intervals at which an entry without new run ends is sent changes caused by
# other entries. The interval is shorter while less than _LOW_ROOM_SHARE of the
# capacity is free, so that two entries rarely choose the same free capacity.
_LOW_ROOM_INTERVAL_MS = 30.0
_NORMAL_INTERVAL_MS = 100.0
_LOW_ROOM_SHARE = 0.3


class EndpointStates:
    """Composes the states of one endpoint for the sessions of its guard."""

    def __init__(
        self,
        table: RunTable,
        sessions: SessionTable,
        clock: Clock,
    ) -> None:
        """Use the runs and sessions of a guard."""
        self._table = table
        self._sessions = sessions
        self._clock = clock

    def interval_ms(self, supervisor: RunSupervisor | None) -> Milliseconds:
        """Return how often changes by other entries are sent to an entry."""
        if supervisor is None:
            return _NORMAL_INTERVAL_MS
        capacity = supervisor.endpoint.status.capacity
        room = self._room(supervisor)
        if room.cpu_milli < _LOW_ROOM_SHARE * capacity.cpu_milli:
            return _LOW_ROOM_INTERVAL_MS
        return _NORMAL_INTERVAL_MS

    def compose(
        self,
        session: Session,
        supervisor: RunSupervisor | None,
    ) -> EndpointState:
        """Return the state for a session.

        Without a supervisor no endpoint has reported to the guard, and the
        state accepts no work.
        """
        if supervisor is None:
            return self._missing_endpoint(session)
        status = supervisor.endpoint.status
        now_ms = self._clock.now_ms()
        return EndpointState(
            now_ms,
            session.last_order,
            status.endpoint_id,
            status.pool,
            status.labels,
            accepts_starts(supervisor.endpoint, self._table, now_ms),
            status.capacity,
            self._room(supervisor),
            supervisor.slowness,
            supervisor.failure_share,
            len(self._sessions),
        )

    def _room(self, supervisor: RunSupervisor) -> Demand:
        """Return the capacity that all runs, waiting ones included, leave."""
        capacity = supervisor.endpoint.status.capacity
        return capacity.minus(self._table.claimed())

    def _missing_endpoint(self, session: Session) -> EndpointState:
        return EndpointState(
            self._clock.now_ms(),
            session.last_order,
            endpoint_id='',
            pool='',
            labels=(),
            accepting=False,
            capacity=Demand(),
            room=Demand(),
            slowness=1,
            failure_share=0,
            sessions=len(self._sessions),
        )
