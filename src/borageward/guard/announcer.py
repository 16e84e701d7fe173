"""Announcer: keeps the guard registered while its runner answers."""

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
    """What a guard registers with control."""

    worker: str
    place: str
    service: str
    endpoint: str
    link_address: str
    slots: int

    def registration(self) -> RegisterGuard:
        """Return a request for a new incarnation."""
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
    """Holds the membership session and reacts to what it learns.

    Leaving cannot be undone for an incarnation, so a guard whose runner came
    back registers again.
    """

    def __init__(
        self,
        state: GuardState,
        client: ControlClient,
        profile: GuardProfile,
        heartbeat_interval_ms: Milliseconds,
        log: EventLog,
    ) -> None:
        """Prepare a guard that is not registered."""
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
        """Register, ending a session that was open."""
        await self.end()
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
        """Tell control and the entries that no new work is accepted."""
        if self._session is not None:
            self._session.announce_leaving()
        announcement = Announcement(self._state.load())
        for link in self._state.links:
            link.post(announcement)
        self._log.event('guard_leaving')

    def report_load(self) -> None:
        """Report the free slots with the next heartbeat."""
        if self._session is not None:
            self._session.report_free_slots(self._state.load().free_slots)

    async def end(self) -> None:
        """End the incarnation at control."""
        session = self._session
        self._session = None
        if session is not None:
            await session.close()

    def incarnation_started(self, incarnation: int) -> None:
        """Use a new incarnation; entries connect to it anew."""
        self._state.end_incarnation()
        self._state.incarnation = incarnation
        self._log.event('guard_registered', incarnation=incarnation)

    def incarnation_ended(self) -> None:
        """Drop queued tasks and links; entries count them as lost."""
        self._log.warning('guard_ended', incarnation=self._state.incarnation)
        self._state.end_incarnation()

    def entries_ended(self, incarnations: tuple[int, ...]) -> None:
        """Fence entry incarnations that have ended."""
        self._state.fence(incarnations)

    def configuration_changed(self, configuration: Configuration) -> None:
        """Use the limits of a newer configuration."""
        self._state.scheduler.configure(configuration.limits)
