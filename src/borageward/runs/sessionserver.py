"""Orders of entries, and the states and ends that they get."""

from __future__ import annotations

import secrets

import trio

from borageward.clock import Clock, Milliseconds
from borageward.messages.runs import (
    Demand,
    EndpointState,
    EntryMessage,
    OpenSession,
    RunOutcome,
    RunRef,
    RunsEnded,
    SessionBeat,
    SessionOpened,
    StartRuns,
    StopRuns,
    TaskKey,
)
from borageward.runs.incarnations import EndpointWatch
from borageward.runs.link import EntryLink
from borageward.runs.sessions import (
    SESSION_TIMEOUT_MS,
    Session,
    SessionTable,
)
from borageward.runs.supervisor import RunSupervisor
from borageward.runs.table import Run, RunTable
from borageward.telemetry import EventLog

_NONCE_BYTES = 6
# The state is sent at least this often, also as a heartbeat.
_STATE_INTERVAL_MS = 200.0
# Changes that come close together are sent as one state.
_STATE_DELAY_MS = 3.0
# An entry without new ends learns at this interval what others have changed:
# soon when there is little room, so that two entries rarely choose the same.
_TIGHT_STATE_INTERVAL_MS = 30.0
_ROOMY_STATE_INTERVAL_MS = 100.0
_TIGHT_SHARE = 0.3
_EXPIRY_INTERVAL_MS = 100.0
_SETTLE_INTERVAL_MS = 10.0
_MS_PER_SECOND = 1000.0


class SessionServer:
    """Sessions of all entries at one guard."""

    def __init__(
        self,
        table: RunTable,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Prepare to serve; ``attach`` comes first."""
        self._table = table
        self._clock = clock
        self._log = log
        self._guard = secrets.token_hex(_NONCE_BYTES)
        self._sessions = SessionTable(clock)
        self._watch: EndpointWatch | None = None
        self._changed = trio.Event()
        # Some session has not got the newest state.
        self._is_stale = False

    @property
    def is_quiet(self) -> bool:
        """Tell whether the entries have seen all ends."""
        return not any(session.unseen for session in self._sessions)

    def attach(self, watch: EndpointWatch) -> None:
        """Use the endpoint that a watch follows."""
        self._watch = watch

    def notify(self) -> None:
        """Send the state to all entries soon."""
        self._changed.set()

    def take_run_end(
        self,
        run: Run,
        outcome: RunOutcome,
        detail: str,
    ) -> None:
        """Report the end of a run to its entry."""
        session = self._sessions.find(run.session)
        if session is not None:
            session.add_end(run.ref, outcome, detail)
        self.notify()

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve one connection of an entry."""
        link = EntryLink(stream)
        async with trio.open_nursery() as nursery:
            await link.run(
                lambda message: self._take(nursery, link, message),
            )
            nursery.cancel_scope.cancel()
        await link.close()
        for session in self._sessions:
            if session.link is link:
                session.link = None

    async def run(self) -> None:
        """Send states and expire sessions until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_states)
            nursery.start_soon(self._expire_sessions)

    def _take(
        self,
        nursery: trio.Nursery,
        link: EntryLink,
        message: EntryMessage,
    ) -> None:
        if isinstance(message, OpenSession):
            nursery.start_soon(self._open, link, message)
            return
        for session in self._sessions:
            if session.link is link:
                self._take_order(session, message)

    async def _open(self, link: EntryLink, message: OpenSession) -> None:
        """Open or resume a session.

        An entry takes a run that is not listed for one that does not run, so
        the runs of an earlier guard have to end first.
        """
        while self._watch is None or not self._watch.is_settled:
            await self._clock.sleep_ms(_SETTLE_INTERVAL_MS)
        resumed = self._sessions.find(message.entry) is not None
        session = self._sessions.open(message.entry)
        session.link = link
        session.acknowledge(message.seen_end)
        refs = tuple(run.ref for run in self._table.of_session(message.entry))
        link.post(SessionOpened(self._guard, resumed, refs))
        self._log.event(
            'session_opened',
            entry=message.entry,
            resumed=resumed,
            runs=len(refs),
        )
        self._post_state(session)

    def _supervisor(self) -> RunSupervisor | None:
        return None if self._watch is None else self._watch.supervisor

    def _take_order(self, session: Session, message: EntryMessage) -> None:
        if isinstance(message, StartRuns):
            self._take_starts(session, message)
        elif isinstance(message, StopRuns):
            self._take_stops(session, message)
        elif isinstance(message, SessionBeat):
            session.echoed_ms = max(session.echoed_ms, message.echoed_ms)
            session.acknowledge(message.seen_end)

    def _take_starts(self, session: Session, message: StartRuns) -> None:
        session.last_order = message.order
        problem = self._problem(message)
        for index, number in message.starts:
            task = TaskKey(
                message.job_id,
                message.occurrence,
                message.step,
                index,
            )
            ref = RunRef(task, number)
            if problem:
                session.add_end(ref, RunOutcome.REFUSED, problem)
            else:
                self._add_run(session, message, ref)
        supervisor = self._supervisor()
        if supervisor is not None:
            supervisor.admit()
        self.notify()

    def _problem(self, message: StartRuns) -> str:
        """Return why an order is refused as a whole, or an empty text."""
        oldest_ms = self._clock.now_ms() - SESSION_TIMEOUT_MS
        if message.echoed_ms < oldest_ms:
            return 'order was delayed'
        if self._supervisor() is None:
            return 'no endpoint'
        return ''

    def _add_run(
        self,
        session: Session,
        message: StartRuns,
        ref: RunRef,
    ) -> None:
        run = Run(
            ref,
            session.entry,
            message.spec,
            message.demand,
            message.estimate_ms,
            self._clock.now_ms() + message.slack_ms,
        )
        if not self._table.add(run):
            session.add_end(ref, RunOutcome.REFUSED, 'another run is here')

    def _take_stops(self, session: Session, message: StopRuns) -> None:
        supervisor = self._supervisor()
        if supervisor is None:
            return
        for ref in message.refs:
            run = self._table.find(ref)
            if run is not None and run.session == session.entry:
                supervisor.stop(run)

    async def _expire_sessions(self) -> None:
        while True:
            await self._clock.sleep_ms(_EXPIRY_INTERVAL_MS)
            for session in self._sessions.expired():
                self._expire(session)

    def _expire(self, session: Session) -> None:
        runs = self._table.of_session(session.entry)
        self._log.warning(
            'session_expired',
            entry=session.entry,
            runs=len(runs),
        )
        self._sessions.remove(session)
        supervisor = self._supervisor()
        if supervisor is not None:
            for run in runs:
                supervisor.stop(run)

    async def _send_states(self) -> None:
        while True:
            with trio.move_on_after(self._state_wait_s()):
                await self._changed.wait()
            await self._clock.sleep_ms(_STATE_DELAY_MS)
            self._changed = trio.Event()
            self._post_states()

    def _state_wait_s(self) -> float:
        """Return the time until a state is due without a new event."""
        if self._is_stale:
            return self._quiet_interval_ms() / _MS_PER_SECOND
        return _STATE_INTERVAL_MS / _MS_PER_SECOND

    def _post_states(self) -> None:
        """Post ends at once, and the mere state at longer intervals."""
        now_ms = self._clock.now_ms()
        interval_ms = self._quiet_interval_ms()
        self._is_stale = False
        for session in self._sessions:
            age_ms = now_ms - session.stated_ms
            if session.has_unreported or age_ms >= interval_ms:
                self._post_state(session)
            else:
                self._is_stale = True

    def _quiet_interval_ms(self) -> Milliseconds:
        supervisor = self._supervisor()
        if supervisor is None:
            return _ROOMY_STATE_INTERVAL_MS
        capacity = supervisor.endpoint.status.capacity
        room = capacity.minus(self._table.claimed())
        if room.cpu_milli < _TIGHT_SHARE * capacity.cpu_milli:
            return _TIGHT_STATE_INTERVAL_MS
        return _ROOMY_STATE_INTERVAL_MS

    def _post_state(self, session: Session) -> None:
        link = session.link
        if link is None:
            return
        session.stated_ms = self._clock.now_ms()
        ends = session.take_unreported()
        if ends:
            link.post(RunsEnded(ends))
        link.post(self._state(session))

    def _state(self, session: Session) -> EndpointState:
        supervisor = self._supervisor()
        if supervisor is None:
            return self._no_endpoint(session)
        status = supervisor.endpoint.status
        return EndpointState(
            self._clock.now_ms(),
            session.last_order,
            status.endpoint_id,
            status.pool,
            status.labels,
            supervisor.endpoint.accepting,
            status.capacity,
            status.capacity.minus(self._table.claimed()),
            supervisor.slowness,
            supervisor.failing,
            len(self._sessions),
        )

    def _no_endpoint(self, session: Session) -> EndpointState:
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
            failing=0,
            sessions=len(self._sessions),
        )
