"""The endpoint of this host, through all its incarnations."""

from __future__ import annotations

from collections.abc import Callable

import trio

from borageward.clock import Clock, Milliseconds
from borageward.messages.runs import RunOutcome
from borageward.runs.endpoint import Endpoint
from borageward.runs.lease import LEASE_MS, LeaseKeeper
from borageward.runs.port import EndpointLists, EndpointPort, EndpointStatus
from borageward.runs.supervisor import EndHandler, RunSupervisor
from borageward.runs.table import RunTable
from borageward.telemetry import EventLog

# Without a guard all runs end within a lease, on a clock that is 2% slow.
_LAPSE_MS = LEASE_MS + 100.0

PortFactory = Callable[[EndpointStatus], EndpointPort]


class EndpointWatch:
    """Follows the reports of the endpoint and supervises its runs.

    A new incarnation runs nothing of what the former one ran.
    """

    def __init__(
        self,
        open_port: PortFactory,
        table: RunTable,
        on_end: EndHandler,
        on_change: Callable[[], None],
        clock: Clock,
        steady_clock: Clock,
        log: EventLog,
    ) -> None:
        """Prepare to follow; both callbacks must not wait.

        ``clock`` has to count suspensions of the host, ``steady_clock`` must
        not.
        """
        self._open_port = open_port
        self._table = table
        self._on_end = on_end
        self._on_change = on_change
        self._clock = clock
        self._steady_clock = steady_clock
        self._log = log
        self._started_ms = clock.now_ms()
        self._listed_alone = False
        self._draining = False
        self._supervisor: RunSupervisor | None = None
        self._scope = trio.CancelScope()
        self._nursery: trio.Nursery | None = None

    @property
    def supervisor(self) -> RunSupervisor | None:
        """Return the supervisor of the present incarnation, if any."""
        return self._supervisor

    @property
    def is_settled(self) -> bool:
        """Tell whether nothing of an earlier guard can run any more."""
        if self._listed_alone:
            return True
        return self._clock.now_ms() - self._started_ms > _LAPSE_MS

    def start(self, nursery: trio.Nursery) -> None:
        """Supervise in the nursery."""
        self._nursery = nursery

    def drain(self) -> None:
        """Start nothing any more."""
        self._draining = True
        supervisor = self._supervisor
        if supervisor is not None:
            supervisor.endpoint.draining = True
            supervisor.admit()
        self._on_change()

    def report(self, status: EndpointStatus) -> None:
        """Take what the endpoint says of itself."""
        supervisor = self._supervisor
        if supervisor is None:
            self._adopt(status)
        elif supervisor.endpoint.status.incarnation == status.incarnation:
            self._update(supervisor, status)
        elif status.born_ms >= supervisor.endpoint.status.born_ms:
            self._retire('endpoint started again')
            self._adopt(status)

    def report_leaving(self, endpoint_id: str) -> None:
        """Note that the endpoint ends now."""
        supervisor = self._supervisor
        if supervisor is None:
            return
        if supervisor.endpoint.status.endpoint_id == endpoint_id:
            self._log.event('endpoint_left', endpoint=endpoint_id)
            supervisor.endpoint.left = True
            self._retire('endpoint left')

    def _update(
        self,
        supervisor: RunSupervisor,
        status: EndpointStatus,
    ) -> None:
        was_draining = supervisor.endpoint.status.draining
        if not supervisor.endpoint.update(status):
            return
        if status.draining and not was_draining:
            self._log.event('endpoint_draining', endpoint=status.endpoint_id)
        supervisor.admit()
        self._on_change()

    def _adopt(self, status: EndpointStatus) -> None:
        nursery = self._nursery
        if nursery is None:
            return
        endpoint = Endpoint(
            status,
            self._open_port(status),
            self._steady_clock,
        )
        endpoint.draining = self._draining
        self._log.event(
            'endpoint_found',
            endpoint=status.endpoint_id,
            born_ms=status.born_ms,
            pool=status.pool,
            cpu_milli=status.capacity.cpu_milli,
        )
        self._scope = trio.CancelScope()
        self._supervisor = RunSupervisor(
            endpoint,
            self._table,
            self._on_end,
            self._clock,
            self._log,
        )
        nursery.start_soon(self._keep, self._supervisor, self._scope)

    async def _keep(
        self,
        supervisor: RunSupervisor,
        scope: trio.CancelScope,
    ) -> None:
        endpoint = supervisor.endpoint
        keeper = LeaseKeeper(
            endpoint,
            self._table,
            self._take_lists,
            self._take_silence,
            self._clock,
            self._log,
        )
        with scope:
            async with trio.open_nursery() as nursery:
                supervisor.start(nursery, keeper.look)
                await keeper.run()
        with trio.CancelScope(shield=True):
            await endpoint.port.close()

    def _take_silence(self, endpoint: Endpoint) -> None:
        supervisor = self._supervisor
        if supervisor is None or supervisor.endpoint is not endpoint:
            return
        supervisor.end_lapsed()
        supervisor.admit()
        self._on_change()

    def _retire(self, detail: str) -> None:
        supervisor = self._supervisor
        self._supervisor = None
        self._scope.cancel()
        if supervisor is not None:
            for run in self._table:
                supervisor.end(run, RunOutcome.LOST, detail)
        self._on_change()

    def _take_lists(
        self,
        endpoint: Endpoint,
        lists: EndpointLists,
        asked_ms: Milliseconds,
    ) -> None:
        supervisor = self._supervisor
        if supervisor is None or supervisor.endpoint is not endpoint:
            return
        supervisor.observe(lists, asked_ms)
        if all(self._table.find(item.ref) for item in lists.running):
            self._listed_alone = True
        supervisor.admit()
        self._on_change()
