"""Guard service that connects entry sessions with the endpoint's runs."""

from __future__ import annotations

import trio

from borageward.clock import Clock, Milliseconds, SystemClock
from borageward.policy.run_authority import AuthorityLimits
from borageward.runs.announcer import GuardAnnouncer
from borageward.runs.incarnations import EndpointMonitor, PortFactory
from borageward.runs.port import EndpointStatus
from borageward.runs.sessionserver import SessionServer
from borageward.runs.table import RunTable
from borageward.telemetry import EventLog
from borageward.transport import Address, FrameListener

_DRAIN_CHECK_MS = 20.0
_MS_PER_SECOND = 1000.0


class RunService:
    """Accepts links of entries and runs their tasks at this host's endpoint."""

    def __init__(
        self,
        address: Address,
        open_port: PortFactory,
        clock: Clock,
        log: EventLog,
        limits: AuthorityLimits | None = None,
    ) -> None:
        """Prepare the service.

        ``clock`` must go on while the host is suspended. ``limits`` says when
        the runs of a silent entry end.
        """
        self._clock = clock
        self._table = RunTable(limits)
        self._sessions = SessionServer(self._table, clock, log)
        self._monitor = EndpointMonitor(
            open_port,
            self._table,
            self._sessions.report_run_end,
            self._handle_change,
            clock,
            SystemClock(),
            log,
        )
        self._sessions.attach(self._monitor)
        self._listener = FrameListener(address, self._sessions.serve)
        self._announcer: GuardAnnouncer | None = None
        self._scope = trio.CancelScope()

    @property
    def address(self) -> Address:
        """Return the address at which entries connect."""
        return self._listener.address

    @property
    def table(self) -> RunTable:
        """Return the table of waiting and active runs."""
        return self._table

    async def start(self, nursery: trio.Nursery) -> None:
        """Serve in the nursery; ``OSError`` if the address cannot be bound."""
        await self._listener.start(nursery)
        await nursery.start(self._run)

    async def drain(self, timeout_ms: Milliseconds) -> None:
        """Start no further runs and wait until all have ended.

        Returns once the entries have acknowledged all ends, or after
        ``timeout_ms``.
        """
        self._monitor.drain()
        with trio.move_on_after(timeout_ms / _MS_PER_SECOND):
            while len(self._table) or not self._sessions.all_ends_acknowledged:
                await self._clock.sleep_ms(_DRAIN_CHECK_MS)

    async def close(self) -> None:
        """Close the listener and stop renewing the lease of remaining runs."""
        self._scope.cancel()
        await self._listener.close()

    def announce_to(self, announcer: GuardAnnouncer) -> None:
        """Let an announcer know the pool and labels of the endpoint."""
        self._announcer = announcer

    def report(self, status: EndpointStatus) -> None:
        """Process a status report of the endpoint."""
        self._monitor.report(status)

    def report_leaving(self, endpoint_id: str, born_ms: int = 0) -> None:
        """Start no further runs at an endpoint that is shutting down.

        ``born_ms`` is its start time, or zero if it did not name it.
        """
        self._monitor.report_leaving(endpoint_id, born_ms)

    def _handle_change(self) -> None:
        self._sessions.notify()
        supervisor = self._monitor.supervisor
        if supervisor is not None and self._announcer is not None:
            status = supervisor.endpoint.status
            self._announcer.set_endpoint(status.pool, status.labels)

    async def _run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        with self._scope:
            async with trio.open_nursery() as nursery:
                self._monitor.start(nursery)
                nursery.start_soon(self._sessions.run)
                task_status.started()
