"""Start and shutdown of the guard role."""

from __future__ import annotations

import contextlib

import trio

from borageward.clock import Clock
from borageward.failures import Failure, FailureReason
from borageward.guard.announcer import Announcer, GuardProfile
from borageward.guard.executor import Executor
from borageward.guard.monitor import RunnerMonitor
from borageward.guard.network import GuardNetwork, GuardTls, TcpNetwork
from borageward.guard.results import ResultStore
from borageward.guard.runnerclient import RunnerClient
from borageward.guard.server import GuardIdentity, LinkServer
from borageward.guard.state import GuardState
from borageward.policy.scheduler import SlotScheduler
from borageward.settings import GuardSettings
from borageward.telemetry import EventLog
from borageward.transport import Address, parse_address

# Entries acknowledge results at once. An unavailable entry must not delay
# the shutdown.
_DELIVERY_TIMEOUT_S = 5.0
_CLOSE_POLL_INTERVAL_MS = 20.0
_MAINTENANCE_INTERVAL_MS = 1000.0


class GuardService:
    """Guard that runs beside one runner and admits and starts its tasks."""

    def __init__(
        self,
        settings: GuardSettings,
        place: str,
        clock: Clock,
        log: EventLog,
        scheduler: SlotScheduler,
        tls: GuardTls | None = None,
        network: GuardNetwork | None = None,
    ) -> None:
        """Create a guard that is not started; the network defaults to TCP."""
        self._settings = settings
        self._place = place
        self._clock = clock
        self._log = log
        self._scheduler = scheduler
        self._tls = tls
        self._network = network
        self._running: _RunningGuard | None = None

    @property
    def address(self) -> Address | None:
        """Return the address for entries, or ``None`` before the start."""
        return None if self._running is None else self._running.address

    async def start(self, nursery: trio.Nursery) -> Failure | None:
        """Listen for entries and register once the runner answers.

        Return ``INVALID_REQUEST`` when an address in the settings is
        malformed.
        """
        network = self._network or _tcp_network(self._settings, self._tls)
        if isinstance(network, Failure):
            return network
        results = ResultStore(
            self._clock,
            self._settings.result_retention_ms,
            self._settings.max_result_bytes,
        )
        state = GuardState(self._clock, self._scheduler, results)
        runner = RunnerClient(
            network.connect_runner,
            self._settings.runner_address,
        )
        identity = GuardIdentity(
            self._settings.worker,
            self._place,
            self._settings.service,
        )
        self._running = _RunningGuard(
            state, runner, network, identity, self._log
        )
        await nursery.start(self._running.run, self._settings)
        return None

    async def close(self) -> None:
        """Refuse new tasks, finish accepted ones and deliver their results.

        Results that entries do not acknowledge in time stay undelivered.
        """
        if self._running is not None:
            await self._running.close()


class _RunningGuard:
    """Components of a started guard and the tasks that run them."""

    def __init__(
        self,
        state: GuardState,
        runner: RunnerClient,
        network: GuardNetwork,
        identity: GuardIdentity,
        log: EventLog,
    ) -> None:
        self._state = state
        self._runner = runner
        self._network = network
        self._identity = identity
        self._log = log
        step_log = log.bind(worker=identity.worker)
        self._executor = Executor(state, runner, step_log)
        self._server = LinkServer(state, self._executor, identity, log)
        self._monitor = RunnerMonitor(runner, state.clock)
        self._scope = trio.CancelScope()
        self._stopped = trio.Event()
        self._announcer: Announcer | None = None
        self.address: Address | None = None

    async def run(
        self,
        settings: GuardSettings,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._stopped.set)
            with self._scope:
                await self._run(settings, task_status)

    async def close(self) -> None:
        self._state.closing = True
        if self._announcer is not None:
            self._announcer.announce_leaving()
        while len(self._state.tasks):
            await self._state.clock.sleep_ms(_CLOSE_POLL_INTERVAL_MS)
        with trio.move_on_after(_DELIVERY_TIMEOUT_S):
            while not self._all_delivered():
                await self._state.clock.sleep_ms(_CLOSE_POLL_INTERVAL_MS)
        if self._announcer is not None:
            await self._announcer.end_session()
        for link in self._state.links:
            link.request_close()
        await self._network.stop_listening()
        await self._runner.close()
        self._scope.cancel()
        await self._stopped.wait()
        self._log.event('guard_closed', undelivered=self._undelivered_count())

    def _undelivered_count(self) -> int:
        return self._state.results.pending_count

    def _all_delivered(self) -> bool:
        links_idle = all(link.idle for link in self._state.links)
        return links_idle and not self._undelivered_count()

    async def _run(
        self,
        settings: GuardSettings,
        task_status: trio.TaskStatus[None],
    ) -> None:
        async with trio.open_nursery() as nursery:
            address = await self._network.listen(nursery, self._server.serve)
            self.address = address
            client = self._network.open_control(self._state.clock, nursery)
            profile = GuardProfile(
                self._identity.worker,
                self._identity.place,
                self._identity.service,
                settings.runner_address,
                str(address),
                settings.slots,
            )
            self._announcer = Announcer(
                self._state,
                client,
                profile,
                settings.heartbeat_interval_ms,
                self._log,
            )
            nursery.start_soon(self._executor.run)
            nursery.start_soon(self._watch_runner, nursery, self._announcer)
            nursery.start_soon(self._maintain, self._announcer)
            task_status.started()

    async def _watch_runner(
        self,
        nursery: trio.Nursery,
        announcer: Announcer,
    ) -> None:
        while True:
            await self._monitor.check()
            await self._update_runner_state(nursery, announcer)
            await self._monitor.wait_until_due()

    async def _update_runner_state(
        self,
        nursery: trio.Nursery,
        announcer: Announcer,
    ) -> None:
        became_unready = self._state.runner_ready and not self._monitor.ready
        became_ready = self._monitor.ready and not self._state.runner_ready
        if became_unready:
            self._state.runner_ready = False
            announcer.announce_leaving()
        # Entries treat accepted tasks as lost when the guard gets a new
        # incarnation, so it registers again only after these have ended.
        if (
            became_ready
            and not self._state.closing
            and not len(self._state.tasks)
        ):
            await announcer.register(nursery)
            self._state.runner_ready = True

    async def _maintain(self, announcer: Announcer) -> None:
        while True:
            self._state.results.expire()
            self._state.ledger.expire()
            announcer.report_load()
            await self._state.clock.sleep_ms(_MAINTENANCE_INTERVAL_MS)


def _tcp_network(
    settings: GuardSettings,
    tls: GuardTls | None,
) -> TcpNetwork | Failure:
    link = parse_address(settings.link_address)
    if isinstance(link, Failure):
        return link
    runner = parse_address(settings.runner_address)
    if isinstance(runner, Failure):
        return runner
    control = tuple(
        address
        for address in map(parse_address, _member_addresses(settings))
        if isinstance(address, Address)
    )
    if len(control) < len(settings.control):
        return Failure(
            FailureReason.INVALID_REQUEST, 'malformed control address'
        )
    return TcpNetwork(link, runner, control, tls)


def _member_addresses(settings: GuardSettings) -> list[str]:
    return [replica.member_address for replica in settings.control]
