"""Registration of the guard with control while its runner answers."""

from __future__ import annotations

import secrets

import attrs
import trio

from borageward.clock import Milliseconds
from borageward.configuration import Configuration
from borageward.controlclient import ControlClient
from borageward.guard.state import GuardState
from borageward.membership import MembershipSession, SessionOptions
from borageward.messages.control import RegisterGuard
from borageward.messages.guard import Announcement
from borageward.telemetry import EventLog

_NONCE_BYTES = 16


@attrs.frozen(slots=True)
class GuardProfile:
    """Properties of a guard that it registers with control."""

    worker: str
    place: str
    service: str
    endpoint: str
    link_address: str
    slots: int

    def registration(self) -> RegisterGuard:
        """Return a request for a new incarnation, with a new nonce."""
        return RegisterGuard(
            secrets.token_bytes(_NONCE_BYTES),
            self.worker,
            self.place,
            self.service,
            self.endpoint,
            self.link_address,
            self.slots,
        )


class Announcer:
    """Manages the membership session and reacts to its changes.

    An incarnation cannot withdraw its announcement to leave, so a guard whose
    runner answers again registers a new incarnation.
    """

    def __init__(
        self,
        state: GuardState,
        client: ControlClient,
        profile: GuardProfile,
        heartbeat_interval_ms: Milliseconds,
        log: EventLog,
    ) -> None:
        """Create an announcer without a session."""
        self._state = state
        self._client = client
        self._profile = profile
        self._log = log
        self._options = SessionOptions(
            heartbeat_interval_ms,
            heartbeat_interval_ms,
        )
        self._session: MembershipSession | None = None

    async def register(self, nursery: trio.Nursery) -> None:
        """Start a new session, after ending the open one, if any."""
        await self.end_session()
        session = MembershipSession(
            self._client,
            self._state.clock,
            self._profile.registration,
            self,
            self._options,
        )
        self._session = session
        self._state.lease_valid = session.lease_valid
        await session.start(nursery)

    def announce_leaving(self) -> None:
        """Notify control and entries that no new tasks are accepted."""
        if self._session is not None:
            self._session.announce_leaving()
        announcement = Announcement(self._state.load())
        for link in self._state.links:
            link.post(announcement)
        self._log.event('guard_leaving')

    def report_load(self) -> None:
        """Report the current number of free slots in later heartbeats."""
        if self._session is not None:
            self._session.report_free_slots(self._state.load().free_slots)

    async def end_session(self) -> None:
        """End the session, if any, and its incarnation at control."""
        session = self._session
        self._session = None
        if session is not None:
            await session.close()

    def incarnation_started(self, incarnation: int) -> None:
        """Use a new incarnation; links of the previous one are closed."""
        self._state.end_incarnation()
        self._state.incarnation = incarnation
        self._log.event('guard_registered', incarnation=incarnation)

    def incarnation_ended(self) -> None:
        """Cancel queued tasks and close links after control ended the guard.

        Entries treat the tasks of the ended incarnation as lost.
        """
        self._log.warning('guard_ended', incarnation=self._state.incarnation)
        self._state.end_incarnation()

    def entries_ended(self, incarnations: tuple[int, ...]) -> None:
        """Fence ended entry incarnations and cancel their queued tasks."""
        self._state.fence(incarnations)

    def configuration_changed(self, configuration: Configuration) -> None:
        """Apply the limits of a newer configuration to the scheduler."""
        self._state.scheduler.configure(configuration.limits)
