"""Link of an entry to one guard, and the entry's runs at this guard."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

import msgspec
import trio

from borageward.clock import Clock, Milliseconds
from borageward.dispatch.checkedstamps import CheckedStamps
from borageward.dispatch.orders import EndHandler, OutstandingRuns
from borageward.failures import Failure
from borageward.messages.runs import (
    Demand,
    EndpointState,
    EntryMessage,
    GuardMessage,
    OpenSession,
    RunRef,
    RunsEnded,
    SessionHeartbeat,
    SessionOpened,
    StartRuns,
    StopRuns,
)
from borageward.policy.run_authority import entry_wait_ms
from borageward.telemetry import EventLog
from borageward.transport import Address, FrameConnection, LinkClosed

# A heartbeat answers each state whose stamp is newer than the last echoed one
# by at least this.
_HEARTBEAT_INTERVAL_MS = 150.0
# A connection without a message for this time is closed and opened again. The
# guard sends a state at least every 300 ms to an entry that has runs there, and
# every 460 ms to others.
_SILENCE_TIMEOUT_MS = 700.0
_IDLE_SILENCE_TIMEOUT_MS = 1500.0
# A guard answers each order with a state. One that has not done so for this
# time may be frozen or cut off, and gets no further orders until it answers.
_ORDER_ANSWER_MS = 250.0
_CONNECT_TIMEOUT_MS = 500.0
_RECONNECT_DELAY_MS = 60.0
_MS_PER_SECOND = 1000.0


class GuardLink:
    """Session of an entry at a guard, reopened whenever the link breaks.

    The outcome of runs that were ordered before the link broke is learned from
    the guard when the session is resumed. If it is not resumed in time, these
    runs are reported as lost as soon as the guard's authority to run them has
    expired.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        entry: str,
        on_end: EndHandler,
        on_change: Callable[[], None],
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Prepare a link; ``run`` opens it.

        ``clock`` must go on while the host is suspended. The callbacks must not
        block.
        """
        self._name = name
        self._address = address
        self._entry = entry
        self._runs = OutstandingRuns(on_end)
        self._on_change = on_change
        self._clock = clock
        self._log = log
        self._exchange_scope = trio.CancelScope()
        self._state: EndpointState | None = None
        self._opened = False
        self._unanswered_since_ms: Milliseconds = math.inf
        # Newest stamp of the guard that a heartbeat or order has returned.
        self._echoed_ms: Milliseconds = -math.inf
        self._outgoing: list[EntryMessage] = []
        self._posted = trio.Event()
        # When the host of the guard was last heard.
        self.heard_ms: Milliseconds = -math.inf
        self._last_renewal_ms: Milliseconds = 0
        self._stamps = CheckedStamps()
        # The process of the guard that the stamps are of.
        self._guard = ''
        # Time after the last heartbeat by which all runs have ended.
        self._run_limit_ms: Milliseconds = math.inf

    @property
    def name(self) -> str:
        """Return the name of the guard's host."""
        return self._name

    @property
    def address(self) -> Address:
        """Return the address of the guard."""
        return self._address

    @property
    def state(self) -> EndpointState | None:
        """Return the endpoint's newest state, or None without a session."""
        return self._state if self._opened else None

    @property
    def is_idle(self) -> bool:
        """Return whether the entry has no run at this guard."""
        return not self._runs

    @property
    def is_open(self) -> bool:
        """Return whether the session is open."""
        return self._opened

    @property
    def is_answering(self) -> bool:
        """Return whether the guard has answered all but recent orders."""
        unanswered_ms = self._clock.now_ms() - self._unanswered_since_ms
        return unanswered_ms < _ORDER_ANSWER_MS

    def room(self) -> Demand:
        """Return the room left after the orders that the state lacks."""
        state = self._state
        return Demand() if state is None else self._runs.room(state)

    def ordered(self) -> Demand:
        """Return the demand of the entry's runs at this guard."""
        return self._runs.demand()

    def reserve(self, ref: RunRef, demand: Demand) -> None:
        """Reserve room for a run that the next ``start`` orders."""
        self._runs.reserve(ref, demand)

    def start(
        self,
        message: StartRuns,
        starts: tuple[tuple[int, int], ...],
    ) -> None:
        """Order reserved runs; their ends are passed to ``on_end``.

        ``order``, ``starts`` and ``echoed_ms`` of the message are replaced by
        the values of this link.
        """
        echoed_ms = 0 if self._state is None else self._state.stamp_ms
        self._echoed_ms = echoed_ms
        now_ms = self._clock.now_ms()
        self._last_renewal_ms = now_ms
        self._unanswered_since_ms = min(self._unanswered_since_ms, now_ms)
        self._post(
            msgspec.structs.replace(
                message,
                order=self._runs.next_order(),
                starts=starts,
                echoed_ms=echoed_ms,
            ),
        )

    def stop(self, refs: Sequence[RunRef]) -> None:
        """Stop runs; their ends are passed to ``on_end``.

        The request is repeated whenever the session is opened again.
        """
        if refs:
            caller_ms = self._runs.mark_stopping(refs, self._stamps.noticed_ms)
            self._post(StopRuns(tuple(refs), caller_ms))

    async def run(self) -> None:
        """Keep the session open until cancelled."""
        while True:
            await self._run_connection()
            await self._clock.sleep_ms(_RECONNECT_DELAY_MS)

    def check(self) -> None:
        """Give up a silent connection, and runs whose authority has expired.

        Has to be called at intervals.
        """
        now_ms = self._clock.now_ms()
        if self._state is not None:
            self._stamps.record(now_ms, self._state.stamp_ms)
        timeout_ms = (
            _SILENCE_TIMEOUT_MS if self._runs else _IDLE_SILENCE_TIMEOUT_MS
        )
        if now_ms - self.heard_ms > timeout_ms:
            self._exchange_scope.cancel()
        elapsed_ms = now_ms - self._last_renewal_ms
        if not self._opened and elapsed_ms > self._run_limit_ms:
            self._runs.expire()

    async def _run_connection(self) -> None:
        connection = await _connect(self._address)
        if connection is None:
            return
        self._outgoing = [
            OpenSession(
                self._entry,
                self._runs.seen_end,
                self._runs.session,
                # Rises over all links of this process to the guard.
                attempt=round(self._clock.now_ms()),
            ),
        ]
        self._posted.set()
        self.heard_ms = self._clock.now_ms()
        try:
            await self._exchange(connection)
        finally:
            await connection.close()
        self._handle_closed()

    async def _exchange(
        self,
        connection: FrameConnection[GuardMessage],
    ) -> None:
        """Send and receive until the connection is closed or silent."""
        async with trio.open_nursery() as nursery:
            self._exchange_scope = nursery.cancel_scope
            nursery.start_soon(self._write, connection)
            try:
                await self._read(connection)
            except LinkClosed:
                nursery.cancel_scope.cancel()

    def _handle_closed(self) -> None:
        if self._opened:
            self._log.warning(
                'guard_lost',
                guard=self._name,
                runs=len(self._runs),
            )
        self._opened = False
        self._on_change()

    def _post(self, message: EntryMessage) -> None:
        self._outgoing.append(message)
        self._posted.set()

    async def _write(self, connection: FrameConnection[GuardMessage]) -> None:
        while True:
            await self._posted.wait()
            await _handle_pending_events()
            self._posted = trio.Event()
            # A stop must not find a lease that an echo beside it has extended.
            outgoing = sorted(self._outgoing, key=_is_heartbeat)
            self._outgoing = []
            try:
                await connection.send_all(outgoing)
            except LinkClosed:
                self._exchange_scope.cancel()
                return

    async def _read(self, connection: FrameConnection[GuardMessage]) -> None:
        while True:
            message = await connection.receive()
            if isinstance(message, Failure):
                raise LinkClosed
            self.heard_ms = self._clock.now_ms()
            self._handle_message(message)

    def _handle_message(self, message: GuardMessage) -> None:
        if isinstance(message, SessionOpened):
            self._handle_opened(message)
        elif isinstance(message, RunsEnded):
            for end in message.ends:
                self._runs.handle_end(end)
        else:
            self._handle_state(message)

    def _handle_opened(self, message: SessionOpened) -> None:
        self._unanswered_since_ms = math.inf
        self._echoed_ms = -math.inf
        if message.guard != self._guard:
            # Its clock may have begun anew.
            self._guard = message.guard
            self._state = None
            self._stamps = CheckedStamps()
        self._run_limit_ms = entry_wait_ms(message.run_limit_ms)
        self.stop(self._runs.reconcile(message))
        self._log.event(
            'guard_found',
            guard=self._name,
            resumed=message.resumed,
            runs=len(message.refs),
        )

    def _handle_state(self, state: EndpointState) -> None:
        self._state = state
        self._stamps.begin(self._clock.now_ms(), state.stamp_ms)
        self._opened = True
        if self._runs.is_answered(state):
            self._unanswered_since_ms = math.inf
        self._runs.end_unlisted()
        self._send_heartbeat(state)
        self._on_change()

    def _send_heartbeat(self, state: EndpointState) -> None:
        """Echo the stamp of a state, unless a recent one was echoed."""
        if state.stamp_ms - self._echoed_ms < _HEARTBEAT_INTERVAL_MS:
            return
        self._echoed_ms = state.stamp_ms
        self._last_renewal_ms = self._clock.now_ms()
        self._post(SessionHeartbeat(state.stamp_ms, self._runs.seen_end))


async def _handle_pending_events() -> None:
    """Let the events that are known to the event loop be handled.

    A process that stood still finds states of guards and departures of callers
    together. It takes two passes until a departure leads to a stop.
    """
    await trio.lowlevel.checkpoint()
    await trio.lowlevel.checkpoint()


def _is_heartbeat(message: EntryMessage) -> bool:
    return isinstance(message, SessionHeartbeat)


async def _connect(address: Address) -> FrameConnection[GuardMessage] | None:
    with trio.move_on_after(_CONNECT_TIMEOUT_MS / _MS_PER_SECOND):
        try:
            stream = await trio.open_tcp_stream(address.host, address.port)
        except OSError:
            return None
        return FrameConnection(stream, GuardMessage)
    return None
