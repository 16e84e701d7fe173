"""One scenario of the model: entries, guards, callers and faults of a seed."""

from __future__ import annotations

import contextlib
import functools
import random

import attrs
import trio
from trio.testing import MockClock

from tests.model.callers import Callers
from tests.model.entries import EntryHost
from tests.model.faults import Faults
from tests.model.guards import GuardHost
from tests.model.monitor import Breach, Monitor
from tests.model.network import Network
from tests.taskorder import seed_task_order

_FAULTS_END_S = 9.0
_END_S = 11.0
_CALLERS = 6
# Time in which the entries find the guards.
_SETTLE_S = 0.5


@attrs.frozen
class Result:
    """Breaches of one seed and the number of runs that were started."""

    seed: int
    breaches: tuple[Breach, ...]
    starts: int


def run_seed(seed, *, late_notices=True, extra=False):
    """Play the scenario of a seed in virtual time.

    With ``extra`` the faults of endpoints and of the power of hosts are drawn
    too.
    """
    seed_task_order(seed)
    monitor = Monitor()
    world = World(seed, monitor)
    rng = world.make_rng('scenario')
    trio.run(
        world.run,
        rng.randint(2, 4),
        rng.randint(3, 6),
        functools.partial(_play_faults, late_notices=late_notices, extra=extra),
        clock=MockClock(autojump_threshold=0),
    )
    return Result(seed, tuple(monitor.breaches), monitor.starts)


def run_script(script, entries=2, guards=3):
    """Play a scripted scenario, which is called with its world."""
    seed_task_order(0)
    monitor = Monitor()
    world = World('script', monitor)
    trio.run(
        world.run,
        entries,
        guards,
        script,
        clock=MockClock(autojump_threshold=0),
    )
    return Result(0, tuple(monitor.breaches), monitor.starts)


class World:
    """Hosts of one scenario and the network between them."""

    def __init__(self, seed, monitor):
        """Draw everything from generators that are named after the seed."""
        self.monitor = monitor
        self.network = Network(self.make_rng)
        self.entries = []
        self.guards = []
        self._seed = seed

    async def run(self, entry_count, guard_count, play):
        """Run the hosts until ``play`` returns."""
        with _patched_connections(self.network):
            async with trio.open_nursery() as nursery:
                self._start_hosts(nursery, entry_count, guard_count)
                await trio.sleep(_SETTLE_S)
                await play(self)
                nursery.cancel_scope.cancel()

    def make_rng(self, name):
        """Return a generator for a part of the scenario."""
        return random.Random(f'{self._seed}/{name}')

    def _start_hosts(self, nursery, entry_count, guard_count):
        names = [f'g{index}' for index in range(1, guard_count + 1)]
        self.guards = [
            GuardHost(name, self.monitor, self.make_rng, nursery)
            for name in names
        ]
        self.entries = [
            EntryHost(number + 1, names, self.monitor, self.make_rng)
            for number in range(entry_count)
        ]
        for host in (*self.guards, *self.entries):
            self.network.hosts[host.name] = host
            nursery.start_soon(host.run)


async def _play_faults(world, *, late_notices, extra):
    callers = Callers(
        world.entries, world.monitor, world.make_rng('callers'), _END_S
    )
    faults = Faults(
        world.entries,
        world.guards,
        world.network,
        world.monitor,
        world.make_rng('faults'),
        late_notices=late_notices,
        extra=extra,
    )
    async with trio.open_nursery() as nursery:
        for _ in range(_CALLERS):
            nursery.start_soon(callers.run)
        nursery.start_soon(faults.run, _FAULTS_END_S)
        await trio.sleep(_END_S)
        nursery.cancel_scope.cancel()


@contextlib.contextmanager
def _patched_connections(network):
    """Let links of entries connect through the network of the model."""

    async def connect(host, port):  # noqa: WPS430 Binds the network.
        _, entry, _, guard = host.split('.')
        return await network.connect(f'n{entry}', f'g{guard}')

    original = trio.open_tcp_stream
    trio.open_tcp_stream = connect
    try:
        yield
    finally:
        trio.open_tcp_stream = original
