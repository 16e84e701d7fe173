"""Entry sessions at a guard: incoming requests, outgoing states and ends."""

from __future__ import annotations

import math
import secrets

import trio

from borageward.clock import Clock, Milliseconds
from borageward.messages.runs import (
    EntryMessage,
    OpenSession,
    RunOutcome,
    RunRef,
    RunsEnded,
    SessionOpened,
    StartRuns,
    StopRuns,
    TaskKey,
)
from borageward.runs.echoes import Echoes
from borageward.runs.endings import log_refusal, log_unreported
from borageward.runs.endpointstate import EndpointStates
from borageward.runs.incarnations import EndpointMonitor
from borageward.runs.link import EntryLink
from borageward.runs.refusals import PendingRefusals
from borageward.runs.sessions import (
    UNLINKED_TIMEOUT_MS,
    Session,
    SessionLink,
    SessionTable,
)
from borageward.runs.supervisor import RunSupervisor
from borageward.runs.table import Run, RunTable
from borageward.telemetry import EventLog

_NONCE_BYTES = 6
# The state serves as a heartbeat: it is sent at least this often to entries
# with runs, and at least at the second interval to the others. Both are
# multiples of the check interval. An entry that hears no guard for 600 ms takes
# itself for cut off, so the second one must be well below this.
_STATE_INTERVAL_MS = 300.0
_IDLE_STATE_INTERVAL_MS = 450.0
_STATE_CHECK_INTERVAL_MS = 150.0
# Delay before a state is sent, so that one state covers several changes.
_STATE_DELAY_MS = 3.0
_SETTLE_INTERVAL_MS = 10.0
_MS_PER_SECOND = 1000.0


class SessionServer:
    """Serves the sessions of all entries at one guard."""

    def __init__(
        self,
        table: RunTable,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Prepare the server; sessions open only after ``attach``."""
        self._table = table
        self._clock = clock
        self._log = log
        self._guard = secrets.token_hex(_NONCE_BYTES)
        self._sessions = SessionTable(clock, table.limits)
        self._states = EndpointStates(table, self._sessions, clock)
        self._by_link: dict[EntryLink, Session] = {}
        self._refusals = PendingRefusals()
        self._echoes = Echoes(table, clock, self._supervisor)
        self._monitor: EndpointMonitor | None = None
        self._changed = trio.Event()
        # Number of changes of the state.
        self._version = 0
        # The newest state has not been sent to every session.
        self._has_unsent_state = False

    @property
    def all_ends_acknowledged(self) -> bool:
        """Return whether the entries have acknowledged all run ends."""
        return not any(session.unacknowledged for session in self._sessions)

    @property
    def open_sessions(self) -> int:
        """Return the number of sessions."""
        return len(self._sessions)

    def attach(self, monitor: EndpointMonitor) -> None:
        """Set the monitor of the endpoint at which runs start."""
        self._monitor = monitor

    def notify(self) -> None:
        """Schedule a new state for all entries."""
        self._changed.set()

    def report_run_end(
        self,
        run: Run,
        outcome: RunOutcome,
        detail: str,
    ) -> None:
        """Queue the end of a run for its entry and schedule a new state.

        A run that was refused because of this one is reported with it, as its
        entry may start the task elsewhere from then on.
        """
        session = self._sessions.find(run.session)
        if session is None:
            log_unreported(self._log, run.session, run.ref, outcome)
        else:
            session.add_end(run.ref, outcome, detail)
        for entry, ref in self._refusals.pop(run.ref.task):
            refused = self._sessions.find(entry)
            if refused is not None:
                _refuse(self._log, refused, ref, 'task had another run')
        self.notify()

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve one connection of an entry until it is closed.

        The runs of the entry are stopped if it does not open another in time.
        Its session is kept, so that it learns later how they have ended.
        """
        link = EntryLink(stream)
        async with trio.open_nursery() as nursery:
            await link.run(
                lambda message: self._handle_message(nursery, link, message),
            )
            nursery.cancel_scope.cancel()
        await link.close()
        session = self._by_link.pop(link, None)
        if session is not None and session.link is link:
            session.link = None
            unlinked_ms = self._clock.now_ms()
            session.unlinked_ms = unlinked_ms
            await self._clock.sleep_ms(UNLINKED_TIMEOUT_MS)
            if self._sessions.is_unlinked_since(session, unlinked_ms):
                expiry_ms = unlinked_ms + UNLINKED_TIMEOUT_MS
                self._revoke_runs(session, expiry_ms, 'session_unlinked')

    async def run(self) -> None:
        """Send states and expire sessions until cancelled."""
        async with trio.open_nursery() as nursery:
            self._echoes.start(nursery)
            nursery.start_soon(self._send_states)
            nursery.start_soon(self._expire_sessions)

    def _handle_message(
        self,
        nursery: trio.Nursery,
        link: EntryLink,
        message: EntryMessage,
    ) -> None:
        if isinstance(message, OpenSession):
            nursery.start_soon(self._open, link, message)
            return
        session = self._by_link.get(link)
        if session is not None and session.link is link:
            self._handle_session_message(session, message)
        elif isinstance(message, StartRuns):
            self._log.warning(
                'order_ignored',
                job=message.job_id,
                entry='' if session is None else session.entry,
            )

    async def _open(self, link: EntryLink, message: OpenSession) -> None:
        """Open or resume a session.

        An entry assumes that a run missing from the reply is not running, so
        the runs of an earlier guard must have ended before.
        """
        while self._monitor is None or not self._monitor.is_settled:
            await self._clock.sleep_ms(_SETTLE_INTERVAL_MS)
        busy = self._table.sessions()
        lapsed = self._sessions.find_lapsed(message.entry, busy)
        if lapsed is not None:
            self._expire(lapsed)
        known = self._sessions.find(message.entry)
        if known is not None and message.attempt < known.attempt:
            self._log.event('stale_session_request', entry=message.entry)
            return
        resumed = known is not None and message.session == known.session_id
        session = self._sessions.open(message.entry)
        session.attempt = message.attempt
        session.link = link
        self._by_link[link] = session
        if resumed:
            session.acknowledge(message.seen_end)
        else:
            # The entry numbers its orders anew.
            session.last_order = 0
        self._post_opened(session, link, resumed=resumed)

    def _post_opened(
        self,
        session: Session,
        link: EntryLink,
        *,
        resumed: bool,
    ) -> None:
        refs = (
            *(run.ref for run in self._table.of_session(session.entry)),
            *self._refusals.of_entry(session.entry),
        )
        link.post(
            SessionOpened(
                self._guard,
                resumed,
                refs,
                session.session_id,
                session.limits.run_limit_ms,
            ),
        )
        self._log.event(
            'session_opened',
            entry=session.entry,
            resumed=resumed,
            runs=len(refs),
        )
        self._post_state(session)

    def _supervisor(self) -> RunSupervisor | None:
        return None if self._monitor is None else self._monitor.supervisor

    def _handle_session_message(
        self,
        session: Session,
        message: EntryMessage,
    ) -> None:
        if isinstance(message, StopRuns):
            self._handle_stops(session, message)
            return
        if isinstance(message, OpenSession):
            return
        self._echoes.extend(session, message.echoed_ms)
        if isinstance(message, StartRuns):
            self._handle_starts(session, message)
            return
        session.acknowledge(message.seen_end)
        if self._table.has_waiting(session.entry):
            self._admit()

    def _admit(self) -> None:
        supervisor = self._supervisor()
        if supervisor is not None:
            supervisor.admit()

    def _handle_starts(self, session: Session, message: StartRuns) -> None:
        session.last_order = message.order
        timeout_ms = self._table.limits.session_timeout_ms
        refusal_detail = ''
        if message.echoed_ms < self._clock.now_ms() - timeout_ms:
            refusal_detail = (
                'start request was delayed beyond the session timeout'
            )
        elif self._supervisor() is None:
            refusal_detail = 'no endpoint has reported to this guard'
        for index, number in message.starts:
            task = TaskKey(
                message.job_id,
                message.occurrence,
                message.step,
                index,
            )
            ref = RunRef(task, number)
            if refusal_detail:
                _refuse(self._log, session, ref, refusal_detail)
            else:
                self._add_run(session, message, ref)
        self._admit()
        self.notify()

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
            session,
        )
        if not self._table.add(run):
            self._refusals.add(session.entry, ref)
            self._log.event(
                'run_refused',
                job=ref.task.job_id,
                task=ref.task.index,
                run=ref.run,
                entry=session.entry,
            )

    def _handle_stops(self, session: Session, message: StopRuns) -> None:
        supervisor = self._supervisor()
        if supervisor is None:
            return
        limit_ms = math.inf
        if message.caller_ms:
            limit_ms = message.caller_ms + self._table.limits.run_limit_ms
        for ref in message.refs:
            run = self._table.find(ref)
            if run is not None and run.session == session.entry:
                run.limit_ms = min(run.limit_ms, limit_ms)
                supervisor.revoke(run, self._clock.now_ms())

    async def _expire_sessions(self) -> None:
        while True:
            await self._clock.sleep_ms(self._sessions.expiry_wait_ms())
            links = [
                self._expire(session)
                for session in self._sessions.expired(self._table.sessions())
            ]
            for link in filter(None, links):
                await link.close()

    def _expire(self, session: Session) -> SessionLink | None:
        """Remove a session, stop its runs and return the link that it held.

        Further messages on the link are ignored: orders that were under way
        may arrive after the entry has been told, in a new session, that their
        runs are not here.
        """
        link = session.link
        session.link = None
        self._sessions.remove(session)
        for end in session.unacknowledged:
            log_unreported(self._log, session.entry, end.ref, end.outcome)
        expiry_ms = session.authority_end_ms
        self._revoke_runs(session, expiry_ms, 'session_expired')
        return link

    def _revoke_runs(
        self,
        session: Session,
        revoked_ms: Milliseconds,
        event: str,
    ) -> None:
        """Stop the runs of a session that lost their authority at a time."""
        runs = self._table.of_session(session.entry)
        report = self._log.warning if runs else self._log.event
        report(event, entry=session.entry, runs=len(runs))
        supervisor = self._supervisor()
        if supervisor is not None:
            for run in runs:
                supervisor.revoke(run, revoked_ms)

    async def _send_states(self) -> None:
        while True:
            with trio.move_on_after(self._state_wait_s()):
                await self._changed.wait()
            await self._clock.sleep_ms(_STATE_DELAY_MS)
            if self._changed.is_set():
                self._changed = trio.Event()
                self._version += 1
            self._post_states()

    def _state_wait_s(self) -> float:
        """Return the seconds until a state is due if nothing changes."""
        if self._has_unsent_state:
            return self._states.interval_ms(self._supervisor()) / _MS_PER_SECOND
        return _STATE_CHECK_INTERVAL_MS / _MS_PER_SECOND

    def _post_states(self) -> None:
        """Send the states that are due; at once with new run ends."""
        now_ms = self._clock.now_ms()
        interval_ms = self._states.interval_ms(self._supervisor())
        busy = self._table.sessions()
        self._has_unsent_state = False
        for session in self._sessions:
            is_changed = session.sent_version < self._version
            due_ms = interval_ms if is_changed else _IDLE_STATE_INTERVAL_MS
            if session.entry in busy:
                due_ms = min(due_ms, _STATE_INTERVAL_MS)
            age_ms = now_ms - session.state_sent_ms
            if session.has_unreported or age_ms >= due_ms:
                self._post_state(session)
            elif is_changed:
                self._has_unsent_state = True

    def _post_state(self, session: Session) -> None:
        link = session.link
        if link is None:
            return
        session.state_sent_ms = self._clock.now_ms()
        session.sent_version = self._version
        ends = session.take_unreported()
        if ends:
            link.post(RunsEnded(ends))
        link.post(self._states.compose(session, self._supervisor()))


def _refuse(log: EventLog, session: Session, ref: RunRef, detail: str) -> None:
    """Report to an entry that a run has not come into the table."""
    log_refusal(log, session.entry, ref, detail)
    session.add_end(ref, RunOutcome.REFUSED, detail)
