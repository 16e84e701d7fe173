"""Supervision of the endpoint of this host across its incarnations."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import trio

from borageward.clock import Clock, Milliseconds
from borageward.runs.endings import RunLog
from borageward.runs.endpoint import Endpoint
from borageward.runs.lease import LeaseRenewer
from borageward.runs.port import (
    NOT_REPORTED,
    EndpointLists,
    EndpointPort,
    EndpointStatus,
)
from borageward.runs.supervisor import EndHandler, RunSupervisor
from borageward.runs.table import RunTable
from borageward.telemetry import EventLog

# Time after which all runs that a former guard started have ended, if no
# endpoint reports itself: without a guard they end with their lease, on a clock
# that may be 2% slow. A guard of an earlier release granted up to 900 ms.
_FORMER_RUNS_EXPIRY_MS = 1000.0

PortFactory = Callable[[EndpointStatus], EndpointPort]


class EndpointMonitor:
    """Processes the status reports of the endpoint and supervises its runs.

    A new incarnation does not continue the runs of the former one, so these
    are reported as crashed, or as lost if the former one had left. If it has
    the same id, it may have carried out starts that were meant for the former
    one; the runs of these are kept and stopped.
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
        """Prepare the monitor; supervision begins with ``start``.

        ``on_end`` is called for each run that has ended, ``on_change`` when
        the state sent to entries may have changed; neither may block.
        ``clock`` must include the time in which the host was suspended,
        ``steady_clock`` must not.
        """
        self._open_port = open_port
        self._table = table
        self._on_end = on_end
        self._on_change = on_change
        self._clock = clock
        self._steady_clock = steady_clock
        self._log = log
        self._run_log = RunLog(clock, log)
        # The endpoint's clock may stop while the host is suspended.
        self._started_ms = steady_clock.now_ms()
        self._only_own_runs_listed = False
        self._draining = False
        self._supervisor: RunSupervisor | None = None
        # The endpoint of the former incarnation.
        self._former: Endpoint | None = None
        # Report of another endpoint while the current one may be alive.
        self._successor: EndpointStatus | None = None
        self._successor_ms: Milliseconds = 0
        self._scope = trio.CancelScope()
        self._nursery: trio.Nursery | None = None

    @property
    def supervisor(self) -> RunSupervisor | None:
        """Return the supervisor of the current incarnation, or None."""
        return self._supervisor

    @property
    def is_settled(self) -> bool:
        """Return whether no run of an earlier guard can still be running.

        An endpoint that has reported itself must have listed its runs under the
        fence of this guard: if it has started again, it may carry out a start
        of the earlier guard until then.
        """
        if self._only_own_runs_listed:
            return True
        if self._supervisor is not None:
            return False
        elapsed_ms = self._steady_clock.now_ms() - self._started_ms
        return elapsed_ms > _FORMER_RUNS_EXPIRY_MS

    def start(self, nursery: trio.Nursery) -> None:
        """Run the supervision tasks in the nursery."""
        self._nursery = nursery

    def drain(self) -> None:
        """Start no further runs and refuse the waiting ones."""
        self._draining = True
        supervisor = self._supervisor
        if supervisor is not None:
            supervisor.endpoint.draining = True
            supervisor.admit()
        self._on_change()

    def report(self, status: EndpointStatus) -> None:
        """Process a status report; outdated reports are ignored."""
        supervisor = self._supervisor
        if supervisor is None:
            self._start_incarnation(status)
        elif supervisor.endpoint.status.incarnation == status.incarnation:
            self._update(supervisor, status)
        elif supervisor.endpoint.status.endpoint_id != status.endpoint_id:
            self._report_other(supervisor, status)
        elif status.born_ms > supervisor.endpoint.status.born_ms:
            self._replace_incarnation(supervisor, status)

    def report_leaving(self, endpoint_id: str, born_ms: int = 0) -> None:
        """Start no further runs because the endpoint is shutting down.

        The endpoint may work on until it has ended, and the message may be
        that of an earlier incarnation. Its runs therefore end like all others:
        by its lists or with their lease. They are stopped if it has announced
        its shutdown by draining. The id or the start time of another
        incarnation is ignored.
        """
        supervisor = self._supervisor
        if supervisor is None:
            return
        endpoint = supervisor.endpoint
        if endpoint.status.endpoint_id != endpoint_id:
            return
        if not endpoint.is_incarnation(born_ms):
            return
        self._log.event(
            'endpoint_left',
            endpoint=endpoint_id,
            draining=endpoint.status.draining,
            runs=len(self._table),
        )
        endpoint.has_left = True
        supervisor.admit()
        if endpoint.status.draining:
            for run in self._table:
                supervisor.revoke(run, self._clock.now_ms())
        self._on_change()

    def _report_other(
        self,
        supervisor: RunSupervisor,
        status: EndpointStatus,
    ) -> None:
        """Process a report under another id than that of the endpoint.

        It may come from another writer or from an endpoint that has ended, so
        it does not prove that the current endpoint has ended. The reported one
        succeeds it once it answers no calls and has no runs.
        """
        endpoint = supervisor.endpoint
        if endpoint.is_ready:
            if status.born_ms < endpoint.status.born_ms:
                return
            if endpoint.reachable or self._table.is_busy():
                self._successor = status
                self._successor_ms = self._clock.now_ms()
                return
        self._replace_incarnation(supervisor, status)

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

    def _start_incarnation(self, status: EndpointStatus) -> None:
        nursery = self._nursery
        if nursery is None:
            return
        former = self._former
        if former is not None:
            same_id = former.status.endpoint_id == status.endpoint_id
            former = former if same_id else None
        endpoint = Endpoint(
            status,
            self._open_port(status),
            self._steady_clock,
            former,
        )
        endpoint.draining = self._draining
        self._successor = None
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
            self._run_log,
        )
        nursery.start_soon(self._supervise, self._supervisor, self._scope)
        self._on_change()

    async def _supervise(
        self,
        supervisor: RunSupervisor,
        scope: trio.CancelScope,
    ) -> None:
        endpoint = supervisor.endpoint
        renewer = LeaseRenewer(
            endpoint,
            self._table,
            self._handle_lists,
            self._handle_unreachable,
            self._handle_restart,
            self._clock,
            self._log,
        )
        with scope:
            async with trio.open_nursery() as nursery:
                supervisor.start(nursery, renewer.poll_now)
                await renewer.run()
        with trio.CancelScope(shield=True):
            await endpoint.port.close()

    def _handle_unreachable(self, endpoint: Endpoint) -> None:
        supervisor = self._supervisor
        if supervisor is None or supervisor.endpoint is not endpoint:
            return
        supervisor.end_expired()
        supervisor.admit()
        if not self._table.is_busy():
            self._succeed(supervisor)
        self._on_change()

    def _succeed(self, supervisor: RunSupervisor) -> None:
        """End an unreachable incarnation without runs if that is expected."""
        if self._successor is not None:
            self._replace_incarnation(supervisor, self._successor)
        elif supervisor.endpoint.has_left:
            self._end_incarnation('endpoint is shutting down')

    def _handle_restart(self, endpoint: Endpoint, born_ms: int) -> None:
        """Supervise the incarnation that has replied instead of the known one.

        It gets no new runs before it has reported its status.
        """
        supervisor = self._supervisor
        if supervisor is None or supervisor.endpoint is not endpoint:
            return
        status = attrs.evolve(
            endpoint.status,
            born_ms=born_ms,
            sequence=NOT_REPORTED,
            draining=False,
        )
        self._replace_incarnation(supervisor, status)

    def _replace_incarnation(
        self,
        supervisor: RunSupervisor,
        status: EndpointStatus,
    ) -> None:
        same_id = supervisor.endpoint.status.endpoint_id == status.endpoint_id
        self._end_incarnation('endpoint started again', same_id=same_id)
        self._start_incarnation(status)

    def _end_incarnation(self, detail: str, *, same_id: bool = False) -> None:
        supervisor = self._supervisor
        self._supervisor = None
        self._scope.cancel()
        if supervisor is not None:
            self._former = supervisor.endpoint
            supervisor.end_incarnation(detail, same_id=same_id)
        self._on_change()

    def _handle_lists(
        self,
        endpoint: Endpoint,
        lists: EndpointLists,
        requested_ms: Milliseconds,
    ) -> None:
        supervisor = self._supervisor
        if supervisor is None or supervisor.endpoint is not endpoint:
            return
        self._ignore_successor(requested_ms)
        supervisor.observe(lists, requested_ms)
        if all(self._table.find(item.ref) for item in lists.running):
            self._settle(requested_ms)
        supervisor.admit()
        self._on_change()

    def _settle(self, requested_ms: Milliseconds) -> None:
        """Open sessions from now on: lists have shown own runs only."""
        if self._only_own_runs_listed:
            return
        self._only_own_runs_listed = True
        now_ms = self._clock.now_ms()
        self._log.event(
            'former_runs_ended',
            after_ms=round(self._steady_clock.now_ms() - self._started_ms),
            list_age_ms=round(now_ms - requested_ms),
        )

    def _ignore_successor(self, requested_ms: Milliseconds) -> None:
        """Drop the report of a successor that an answer has disproved.

        The current endpoint has answered a call of ``requested_ms``.
        """
        successor = self._successor
        if successor is not None and requested_ms >= self._successor_ms:
            self._successor = None
            self._log.warning('report_ignored', endpoint=successor.endpoint_id)
