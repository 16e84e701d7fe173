"""Link of an entry to one guard, and the runs that the entry has there."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec
import trio

from borageward.clock import Clock, Milliseconds
from borageward.dispatch.orders import EndHandler, OrderBook
from borageward.failures import Failure
from borageward.messages.runs import (
    Demand,
    EndpointState,
    EntryMessage,
    GuardMessage,
    OpenSession,
    RunRef,
    RunsEnded,
    SessionBeat,
    SessionOpened,
    StartRuns,
    StopRuns,
)
from borageward.telemetry import EventLog
from borageward.transport import Address, FrameConnection, LinkClosed

_BEAT_INTERVAL_MS = 200.0
# A link without a message for this time is replaced; the guard sends a state
# each 200 ms.
_SILENCE_MS = 700.0
_CONNECT_TIMEOUT_MS = 500.0
_RECONNECT_MS = 60.0
# After the last heartbeat the guard's session holds for 900 ms, the endpoint's
# lease for 900 ms on a clock that may be 2% slow; the rest is for stopping.
LAPSE_MS = 2150.0
_MS_PER_SECOND = 1000.0


class GuardLink:
    """Keeps a session at a guard open until cancelled.

    Runs that were ordered on a link that broke are settled by the guard when
    the session is resumed, or by the lapse of its authority.
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
        """Prepare a link; ``clock`` has to count suspensions.

        The callbacks must not wait.
        """
        self._name = name
        self._address = address
        self._entry = entry
        self._book = OrderBook(on_end)
        self._on_change = on_change
        self._clock = clock
        self._log = log
        self._connection: FrameConnection[GuardMessage] | None = None
        self._state: EndpointState | None = None
        self._opened = False
        self._outgoing: list[EntryMessage] = []
        self._posted = trio.Event()
        self._heard_ms: Milliseconds = 0
        self._beat_ms: Milliseconds = 0

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
        """Return the newest state while the link is usable."""
        return self._state if self._opened else None

    @property
    def is_idle(self) -> bool:
        """Tell whether the entry has no run here."""
        return not self._book

    @property
    def is_open(self) -> bool:
        """Tell whether the session is open."""
        return self._opened

    def room(self) -> Demand:
        """Return the room after the orders that the state does not count."""
        state = self._state
        return Demand() if state is None else self._book.room(state)

    def ordered(self) -> Demand:
        """Return the demand of the entry's runs here."""
        return self._book.demand()

    def reserve(self, ref: RunRef, demand: Demand) -> None:
        """Count a run that the next ``start`` orders."""
        self._book.reserve(ref, demand)

    def start(
        self,
        message: StartRuns,
        starts: tuple[tuple[int, int], ...],
    ) -> None:
        """Order reserved runs; their ends are reported to the observer.

        The number of the order, the starts and the echoed stamp are those of
        this link, whatever the message says.
        """
        state = self._state
        self._beat_ms = self._clock.now_ms()
        self._post(
            msgspec.structs.replace(
                message,
                order=self._book.next_order(),
                starts=starts,
                echoed_ms=0 if state is None else state.stamp_ms,
            ),
        )

    def stop(self, refs: Sequence[RunRef]) -> None:
        """Stop runs; their ends are reported as usual."""
        if refs:
            self._post(StopRuns(tuple(refs)))

    async def run(self) -> None:
        """Keep the session open until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_lapse)
            while True:
                await self._run_connection()
                await self._clock.sleep_ms(_RECONNECT_MS)

    async def _run_connection(self) -> None:
        connection = await self._connect()
        if connection is None:
            return
        self._connection = connection
        self._outgoing = [OpenSession(self._entry, self._book.seen_end)]
        self._posted.set()
        self._heard_ms = self._clock.now_ms()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write, connection)
            nursery.start_soon(self._beat, connection)
            try:
                await self._read(connection)
            except LinkClosed:
                nursery.cancel_scope.cancel()
        await connection.close()
        self._note_closed()

    async def _connect(self) -> FrameConnection[GuardMessage] | None:
        with trio.move_on_after(_CONNECT_TIMEOUT_MS / _MS_PER_SECOND):
            try:
                stream = await trio.open_tcp_stream(
                    self._address.host,
                    self._address.port,
                )
            except OSError:
                return None
            return FrameConnection(stream, GuardMessage)
        return None

    def _note_closed(self) -> None:
        self._connection = None
        if self._opened:
            self._log.warning(
                'guard_lost',
                guard=self._name,
                runs=len(self._book),
            )
        self._opened = False
        self._on_change()

    def _post(self, message: EntryMessage) -> None:
        self._outgoing.append(message)
        self._posted.set()

    async def _write(self, connection: FrameConnection[GuardMessage]) -> None:
        while True:
            await self._posted.wait()
            self._posted = trio.Event()
            outgoing = self._outgoing
            self._outgoing = []
            try:
                await connection.send_all(outgoing)
            except LinkClosed:
                await connection.close()
                return

    async def _beat(self, connection: FrameConnection[GuardMessage]) -> None:
        while True:
            await self._clock.sleep_ms(_BEAT_INTERVAL_MS)
            now_ms = self._clock.now_ms()
            if now_ms - self._heard_ms > _SILENCE_MS:
                await connection.close()
                return
            if self._opened and self._state is not None:
                self._beat_ms = now_ms
                self._post(
                    SessionBeat(self._state.stamp_ms, self._book.seen_end)
                )

    async def _read(self, connection: FrameConnection[GuardMessage]) -> None:
        while True:
            message = await connection.receive()
            if isinstance(message, Failure):
                raise LinkClosed
            self._heard_ms = self._clock.now_ms()
            self._take(message)

    def _take(self, message: GuardMessage) -> None:
        if isinstance(message, SessionOpened):
            self._take_opened(message)
        elif isinstance(message, RunsEnded):
            for end in message.ends:
                self._book.take(end)
        else:
            self._take_state(message)

    def _take_opened(self, message: SessionOpened) -> None:
        self.stop(self._book.open(message))
        self._log.event(
            'guard_found',
            guard=self._name,
            resumed=message.resumed,
            runs=len(message.refs),
        )

    def _take_state(self, state: EndpointState) -> None:
        self._state = state
        self._opened = True
        self._book.end_unlisted()
        self._on_change()

    async def _watch_lapse(self) -> None:
        """End the runs at a guard that lost its authority over them."""
        while True:
            await self._clock.sleep_ms(_BEAT_INTERVAL_MS)
            silent_ms = self._clock.now_ms() - self._beat_ms
            if not self._opened and silent_ms > LAPSE_MS:
                self._book.lapse()
