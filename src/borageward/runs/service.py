"""The guard: sessions of entries on one side, the endpoint on the other."""

from __future__ import annotations

import trio

from borageward.clock import Clock, Milliseconds, SystemClock
from borageward.runs.incarnations import EndpointWatch, PortFactory
from borageward.runs.port import EndpointStatus
from borageward.runs.sessionserver import SessionServer
from borageward.runs.table import RunTable
from borageward.telemetry import EventLog
from borageward.transport import Address, FrameListener

_DRAIN_CHECK_MS = 20.0
_MS_PER_SECOND = 1000.0


class RunService:
    """Serves entries that start runs at the endpoint of this host."""

    def __init__(
        self,
        address: Address,
        open_port: PortFactory,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Prepare to serve; ``clock`` has to count suspensions."""
        self._clock = clock
        self._table = RunTable()
        self._sessions = SessionServer(self._table, clock, log)
        self._watch = EndpointWatch(
            open_port,
            self._table,
            self._sessions.take_run_end,
            self._sessions.notify,
            clock,
            SystemClock(),
            log,
        )
        self._sessions.attach(self._watch)
        self._listener = FrameListener(address, self._sessions.serve)
        self._scope = trio.CancelScope()

    @property
    def address(self) -> Address:
        """Return the address that entries dial."""
        return self._listener.address

    @property
    def table(self) -> RunTable:
        """Return the runs."""
        return self._table

    async def start(self, nursery: trio.Nursery) -> None:
        """Serve in the nursery; raises ``OSError``."""
        await self._listener.start(nursery)
        await nursery.start(self._run)

    async def drain(self, timeout_ms: Milliseconds) -> None:
        """Start nothing any more and wait until all runs have ended."""
        self._watch.drain()
        with trio.move_on_after(timeout_ms / _MS_PER_SECOND):
            while len(self._table) or not self._sessions.is_quiet:
                await self._clock.sleep_ms(_DRAIN_CHECK_MS)

    async def close(self) -> None:
        """Stop serving."""
        self._scope.cancel()
        await self._listener.close()

    def report(self, status: EndpointStatus) -> None:
        """Take what the endpoint says of itself."""
        self._watch.report(status)

    def report_leaving(self, endpoint_id: str) -> None:
        """Note that the endpoint ends now."""
        self._watch.report_leaving(endpoint_id)

    async def _run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        with self._scope:
            async with trio.open_nursery() as nursery:
                self._watch.start(nursery)
                nursery.start_soon(self._sessions.run)
                task_status.started()
