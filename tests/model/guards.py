"""Hosts of the model that run a guard and its endpoint."""

from __future__ import annotations

import trio

from borageward.runs.incarnations import EndpointMonitor
from borageward.runs.sessionserver import SessionServer
from borageward.runs.table import RunTable
from tests.model.endpoints import GuardPort, ModelEndpoint
from tests.model.processes import Process, ProcessLog

_REPORT_INTERVAL_S = 1.0


class GuardHost:
    """Host whose guard and endpoint crash and restart separately."""

    def __init__(self, name, monitor, make_rng, nursery):
        """Prepare the host; late calls run in the nursery."""
        self.name = name
        self.process = None
        self.endpoint = None
        self._monitor = monitor
        self._make_rng = make_rng
        self._nursery = nursery
        self._lives = 0
        self._endpoints = 0
        self._edge = None
        self._guard_nursery = None
        self._restart = trio.Event()
        self.new_endpoint()

    async def run(self):
        """Run one guard after the other."""
        self._nursery.start_soon(self._report)
        while True:
            await self._run_guard()
            self._restart = trio.Event()
            await self._restart.wait()

    def start_guard(self):
        """Start a guard after the former one was killed."""
        self._restart.set()

    def accept(self, stream):
        """Serve a new connection of an entry."""
        self._guard_nursery.start_soon(self._serve, stream)

    def new_endpoint(self):
        """Start an endpoint with another id."""
        self._endpoints += 1
        endpoint_id = f'{self.name}-e{self._endpoints}'
        rng = self._make_rng(endpoint_id)
        rate = rng.choice((1, 0.99, 0.98))
        self.endpoint = ModelEndpoint(endpoint_id, self._monitor, rng, rate)
        self.endpoint.guard_name = self.name

    def report(self):
        """Send the status of the endpoint to the guard."""
        if not self.endpoint.down:
            status = self.endpoint.report()
            self._tell(lambda: self._edge.report(status))

    def report_foreign(self):
        """Send the status of an endpoint that is not at this host."""
        endpoint = self.endpoint
        status = endpoint.status(
            endpoint_id='foreign',
            born_ms=endpoint.born_ms + 1,
        )
        self._tell(lambda: self._edge.report(status))

    def report_leaving(self):
        """Send the DELETE of the endpoint to the guard."""
        endpoint = self.endpoint
        self._tell(
            lambda: self._edge.report_leaving(endpoint.name, endpoint.born_ms),
        )

    def _tell(self, act):
        if self.process is not None and self.process.alive:
            self._guard_nursery.start_soon(self._act_in_guard, act)

    async def _act_in_guard(self, act):
        await self.process.gate()
        act()

    async def _report(self):
        while True:
            self.report()
            await trio.sleep(_REPORT_INTERVAL_S)

    async def _serve(self, stream):
        try:
            await self.process.gate()
            await self._sessions.serve(stream)
        finally:
            stream.close_now()

    async def _run_guard(self):
        self._lives += 1
        name = f'{self.name}.{self._lives}'
        process = Process(name, self._make_rng(name))
        log = ProcessLog(name, self._monitor)
        table = RunTable()
        self._sessions = SessionServer(table, process.clock, log)
        self._edge = EndpointMonitor(
            lambda status: self._open_port(process, status),
            table,
            self._sessions.report_run_end,
            self._sessions.notify,
            process.clock,
            process.clock,
            log,
        )
        self._sessions.attach(self._edge)
        with process.scope:
            async with trio.open_nursery() as nursery:
                self._guard_nursery = nursery
                self._edge.start(nursery)
                self.process = process
                self.report()
                await self._sessions.run()

    def _open_port(self, process, status):
        endpoint = self.endpoint
        if endpoint.name != status.endpoint_id:
            endpoint = _Gone()
        return GuardPort(process, endpoint, self._nursery)


class _Gone:
    """Endpoint that has ended before its guard called it."""

    down = True
