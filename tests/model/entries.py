"""Entries of the model, and the exchanges of callers with them."""

from __future__ import annotations

import random

import trio

from borageward.dispatch import DispatchService
from borageward.messages.discovery import ClusterView, GuardAddress
from borageward.policy.guard_subset import (
    GuardSubset,
    LinkDemand,
    SubsetSize,
)
from borageward.policy.run_placement import GoalPlacement
from borageward.queues import Queue, QueueManifest, RequestLimits
from tests.model.processes import Process, ProcessLog

_LATENCY_S = 0.001
# The guards do not change, so polls are answered late to save steps.
_POLL_S = 1.0
QUEUE = Queue('q', 'host', '/q/', 'dispatch', 0, 3, 1.6, 60, 20_000)
_MANIFEST = QueueManifest(
    1, (QUEUE,), (), RequestLimits(1000, 1000, 1000, 1000), b''
)


def _guard_address(guard, entry_number, guard_number):
    """Return an address that names the entry too.

    The network knows by it who connects.
    """
    address = f'10.{entry_number}.0.{guard_number}:1'
    return GuardAddress(guard, address, 'z', 'dispatch')


class OrderedSubset(GuardSubset):
    """Subset in a fixed order.

    The order of a set of names differs between runs of the interpreter.
    """

    def choose(self, is_usable):
        """Return the guards in the order of their names."""
        return dict.fromkeys(sorted(super().choose(is_usable)))


class Replica:
    """Control replica that lists all guards."""

    def __init__(self, process, guards):
        """Answer the calls of one process."""
        self._process = process
        self._guards = guards

    async def call(self, address, request, timeout_ms):
        """Return the manifest and the guards, at once only the first time."""
        await trio.sleep(_POLL_S if request.guards_version else _LATENCY_S)
        await self._process.gate()
        return ClusterView(_MANIFEST, 1, self._guards, ())


class Exchange:
    """Request of a caller to an entry, over one connection."""

    def __init__(self, request):
        """Begin an exchange without an outcome."""
        self.request = request
        self.scope = trio.CancelScope()
        self.finished = trio.Event()
        self.outcome = None

    def finish(self, outcome=None):
        """Pass the outcome to the caller; without one, the link has broken."""
        if not self.finished.is_set():
            self.outcome = outcome
            self.finished.set()


class EntryHost:
    """Host that runs one entry process after the other."""

    def __init__(self, number, guards, monitor, make_rng):
        """Prepare the host; ``guards`` are the names of all guards."""
        self.name = f'n{number}'
        self.process = None
        self._guards = tuple(
            _guard_address(guard, number, index + 1)
            for index, guard in enumerate(guards)
        )
        self._monitor = monitor
        self._make_rng = make_rng
        self._lives = 0
        self._exchanges = []
        self._restart = trio.Event()
        self._service = None
        self._nursery = None
        # Until when no caller can connect.
        self.cut_off_until: float = 0

    async def run(self):
        """Run one entry after the other."""
        while True:
            await self._run_entry()
            self._restart = trio.Event()
            await self._restart.wait()

    def start_entry(self):
        """Start an entry after the former one has ended."""
        self._restart.set()

    def is_open(self):
        """Return whether callers can connect."""
        if trio.current_time() < self.cut_off_until:
            return False
        return self.process is not None and self.process.alive

    def submit(self, request):
        """Begin an exchange."""
        exchange = Exchange(request)
        self._exchanges.append(exchange)
        self._nursery.start_soon(self._serve, exchange)
        return exchange

    def kill(self):
        """Kill the entry; all its links break."""
        self.process.end()
        self.break_exchanges()

    def lose_power(self):
        """Stop the host; no link to a guard breaks."""
        self.process.end(dark=True)

    def terminate(self):
        """End the jobs as at a planned end of the entry."""
        self._service.end_jobs()

    def break_exchanges(self, *, delay_s=_LATENCY_S, share=1.0, rng=None):
        """Break connections of callers; the entry notices after a delay."""
        for exchange in tuple(self._exchanges):
            if rng is None or rng.random() < share:
                self.break_exchange(exchange, delay_s)

    def break_exchange(self, exchange, delay_s=_LATENCY_S):
        """Break the connection of one caller."""
        if exchange in self._exchanges:
            self._exchanges.remove(exchange)
        exchange.finish()
        if self.process.alive:
            self._nursery.start_soon(self._notice, exchange, delay_s)

    async def _notice(self, exchange, delay_s):
        await trio.sleep(delay_s)
        await self.process.gate()
        exchange.scope.cancel()

    async def _serve(self, exchange):
        await trio.sleep(_LATENCY_S)
        await self.process.gate()
        outcome = None
        with exchange.scope:
            outcome = await self._service.submit(exchange.request)
        await self.process.gate()
        if not self.process.dark:
            exchange.finish(outcome)
        if exchange in self._exchanges:
            self._exchanges.remove(exchange)

    async def _run_entry(self):
        self._lives += 1
        name = f'{self.name}.{self._lives}'
        process = Process(name, self._make_rng(name))
        self._service = self._make_service(process)
        with process.scope:
            async with trio.open_nursery() as nursery:
                await self._service.start(nursery)
                self._nursery = nursery
                self.process = process
                await trio.sleep_forever()

    def _make_service(self, process):
        log = ProcessLog(process.name, self._monitor)
        service = DispatchService(
            ('replica',),
            OrderedSubset(
                self.name, 'z', LinkDemand(SubsetSize(), process.clock)
            ),
            lambda _: Replica(process, self._guards),
            process.clock,
            log,
        )
        # Placement draws from a source that the service does not seed.
        rng = random.Random(f'placement/{process.name}')
        service._dispatcher._placement = GoalPlacement(rng)
        return service
