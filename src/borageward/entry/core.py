"""Assembly of the components of an entry, without its listeners."""

from __future__ import annotations

import secrets
from collections.abc import Callable

import trio

from borageward.clock import Clock
from borageward.configuration import Configuration
from borageward.entry.controlcalls import ControlCalls
from borageward.entry.corelinks import CoreLinks
from borageward.entry.jobmanager import JobManager
from borageward.entry.directory import Directory
from borageward.entry.dispatcher import Dispatcher
from borageward.entry.guardlink import LinkContext
from borageward.entry.jobrun import RunContext
from borageward.entry.openjobs import AnswerStore, OpenJobs
from borageward.entry.peers import EntryPeers
from borageward.entry.recorder import OutcomeRecorder
from borageward.entry.startgate import StartGate
from borageward.entry.takeover import Takeover, new_fencing
from borageward.membership import MembershipSession, SessionOptions
from borageward.messages.control import RegisterEntry
from borageward.messages.guard import Hello
from borageward.policy.dispatch import DispatchPolicy
from borageward.settings import EntrySettings
from borageward.telemetry import EventLog

_NONCE_BYTES = 16
_HEARTBEAT_TIMEOUT_MS = 1000.0
_RECORD_TIMEOUT_S = 3.0
_ENTRY_COUNT_POLL_S = 0.5


class EntryCore:
    """Creates and connects the components of an entry.

    Implements ``MembershipListener``. ``addresses`` returns the link address
    and the HTTP address of the entry once its listeners are bound.
    """

    def __init__(
        self,
        settings: EntrySettings,
        place: str,
        clock: Clock,
        log: EventLog,
        policy: DispatchPolicy,
        links: CoreLinks,
        addresses: Callable[[], tuple[str, str]],
    ) -> None:
        """Create the components; no task runs before ``start``."""
        self._settings = settings
        self._place = place
        self._log = log
        self._policy = policy
        self._addresses = addresses
        self._control = links.control
        self._session = self._new_session(clock)
        gate = StartGate(self._session)
        jobs = OpenJobs()
        self._dispatcher = Dispatcher(policy, jobs, gate, clock, log)
        self._directory = Directory(
            links.control,
            LinkContext(
                links.dial,
                self._hello,
                self._dispatcher.settlement,
                clock,
            ),
            self._dispatcher.settlement.links,
            settings.name,
            settings.guard_subset_size,
        )
        self._calls = ControlCalls(
            links.control,
            lambda: self._session.incarnation,
            settings.claim_batch_wait_ms,
        )
        self._recorder = OutcomeRecorder(self._calls, clock)
        self._peers = EntryPeers(links.open_peer, self._directory)
        fencing = new_fencing(links.control, self._directory, gate)
        self._job_manager = JobManager(
            jobs,
            policy,
            RunContext(
                self._calls,
                self._dispatcher,
                Takeover(fencing, self._dispatcher, clock),
                self._peers,
                self._recorder,
                AnswerStore(clock),
                gate,
                clock,
                log,
            ),
        )

    @property
    def job_manager(self) -> JobManager:
        """Return the object that accepts, reads and cancels jobs."""
        return self._job_manager

    @property
    def session(self) -> MembershipSession:
        """Return the session that registers this entry with control."""
        return self._session

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the background tasks of all components in ``nursery``."""
        await self._calls.start(nursery)
        await self._recorder.start(nursery)
        await self._job_manager.start(nursery)
        nursery.start_soon(self._dispatcher.run)
        nursery.start_soon(self._watch_entry_count)
        await self._directory.start(nursery)
        await self._session.start(nursery)

    async def drain(self) -> None:
        """Refuse new jobs and wait until the open ones are answered.

        Then waits up to ``_RECORD_TIMEOUT_S`` until control has recorded
        their outcomes.
        """
        self._log.event('entry_draining')
        await self._job_manager.drain()
        with trio.move_on_after(_RECORD_TIMEOUT_S):
            await self._recorder.wait_idle()

    async def leave(self) -> None:
        """Acknowledge all results and end the incarnation at control.

        Must be called after the last job has been answered.
        """
        self._directory.acknowledge_all()
        await self._session.close()

    async def close(self) -> None:
        """Close the connections to other entries and to control.

        Must be called after all tasks started by ``start`` have ended.
        """
        await self._peers.close()
        await self._control.close()
        self._log.event('entry_closed')

    def incarnation_started(self, incarnation: int) -> None:
        """Stop jobs of earlier incarnations and reconnect to all guards."""
        self._log.event('incarnation_started', incarnation=incarnation)
        self._job_manager.end_incarnation(incarnation)
        self._directory.reconnect()
        self._dispatcher.wake()

    def incarnation_ended(self) -> None:
        """Stop all claimed jobs, as their outcomes cannot be recorded."""
        self._log.warning('incarnation_ended')
        self._job_manager.end_incarnation(0)

    def entries_ended(self, incarnations: tuple[int, ...]) -> None:
        """Do nothing.

        Guards learn of ended entries from control and fence them. A takeover
        also sends the fence to the guards and waits for their replies.
        """

    def configuration_changed(self, configuration: Configuration) -> None:
        """Pass a newer configuration on to the components that use it."""
        self._job_manager.configure(configuration)
        self._policy.configure(configuration, self._session.live_entries)
        self._dispatcher.wake()

    async def _watch_entry_count(self) -> None:
        """Reconfigure the policy when the number of live entries changes.

        The policy divides the quotas among the live entries.
        """
        entry_count = self._session.live_entries
        while True:
            await trio.sleep(_ENTRY_COUNT_POLL_S)
            if self._session.live_entries != entry_count:
                entry_count = self._session.live_entries
                self._policy.configure(self._session.configuration, entry_count)
                self._dispatcher.wake()

    def _new_session(self, clock: Clock) -> MembershipSession:
        return MembershipSession(
            self._control,  # type: ignore[arg-type]
            clock,
            self._registration,
            self,
            SessionOptions(
                self._settings.heartbeat_interval_ms,
                _HEARTBEAT_TIMEOUT_MS,
            ),
        )

    def _registration(self) -> RegisterEntry:
        link_address, http_address = self._addresses()
        return RegisterEntry(
            secrets.token_bytes(_NONCE_BYTES),
            self._settings.name,
            self._place,
            link_address,
            http_address,
        )

    def _hello(self) -> Hello:
        return Hello(self._session.incarnation, self._settings.name)
