"""Registration, heartbeats and configuration lease of an entry or guard."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import attrs
import trio

from borageward.clock import Clock, Milliseconds
from borageward.configuration import (
    Configuration,
    decode_configuration,
    initial_configuration,
)
from borageward.controlclient import ControlClient
from borageward.failures import Failure, FailureReason
from borageward.messages.control import (
    EndIncarnation,
    Heartbeat,
    HeartbeatReply,
    Registered,
    RegisterEntry,
    RegisterGuard,
)

_REGISTER_TIMEOUT_MS = 5000.0
_END_TIMEOUT_MS = 2000.0
_MS_PER_SECOND = 1000.0

Registration = Callable[[], RegisterEntry | RegisterGuard]


class MembershipListener(Protocol):
    """Callbacks of a session; they must not wait."""

    def incarnation_started(self, incarnation: int) -> None:
        """Handle a registration; a previous incarnation has ended."""

    def incarnation_ended(self) -> None:
        """Stop using the incarnation, because control has ended it."""

    def entries_ended(self, incarnations: tuple[int, ...]) -> None:
        """Fence entry incarnations, because they have ended."""

    def configuration_changed(self, configuration: Configuration) -> None:
        """Use a configuration with a higher revision than the previous."""


@attrs.frozen(slots=True)
class SessionOptions:
    """Interval of heartbeats and timeout of each heartbeat call."""

    heartbeat_interval_ms: Milliseconds
    heartbeat_timeout_ms: Milliseconds


class MembershipSession:
    """Keeps one process registered with control and its configuration current.

    The configuration revision never decreases. The configuration lease starts
    when the last confirmed heartbeat was sent, not when its reply arrived. So
    the lease expires on time in a process that was suspended or disconnected.
    """

    def __init__(
        self,
        client: ControlClient,
        clock: Clock,
        registration: Registration,
        listener: MembershipListener,
        options: SessionOptions,
    ) -> None:
        """Create a session that is not registered.

        ``registration`` returns a new registration request with a new nonce.
        """
        self._client = client
        self._clock = clock
        self._registration = registration
        self._listener = listener
        self._options = options
        self._scope = trio.CancelScope()
        self._wake = trio.Event()
        self._incarnation = 0
        self._revision = 0
        self._configuration = initial_configuration()
        self._ended_through = 0
        self._live_entries = 1
        self._confirmed_ms: Milliseconds | None = None
        self._leaving = False
        self._free_slots = 0

    @property
    def incarnation(self) -> int:
        """Return the current incarnation, or zero while not registered."""
        return self._incarnation

    @property
    def revision(self) -> int:
        """Return the revision of the configuration in use."""
        return self._revision

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in use."""
        return self._configuration

    @property
    def live_entries(self) -> int:
        """Return the number of live entries in the last heartbeat reply."""
        return self._live_entries

    def lease_valid(self) -> bool:
        """Return whether the configuration lease has not expired.

        The lease is never valid while the process is not registered.
        """
        if self._incarnation == 0 or self._confirmed_ms is None:
            return False
        lease_ms = self._configuration.limits.configuration_lease_ms
        return self._clock.now_ms() - self._confirmed_ms < lease_ms

    def report_free_slots(self, free_slots: int) -> None:
        """Set the number of free slots that later heartbeats report."""
        self._free_slots = free_slots

    def announce_leaving(self) -> None:
        """Send a heartbeat at once to report that no new work is accepted."""
        self._leaving = True
        self._wake.set()

    async def start(self, nursery: trio.Nursery) -> None:
        """Start a task in the nursery that registers and sends heartbeats."""
        nursery.start_soon(self._run)

    async def close(self) -> None:
        """Stop sending heartbeats and end the incarnation at control."""
        self._scope.cancel()
        incarnation = self._incarnation
        self._incarnation = 0
        if incarnation:
            await self._client.call(
                EndIncarnation(incarnation),
                _END_TIMEOUT_MS,
            )

    async def _run(self) -> None:
        with self._scope:
            while True:
                if self._incarnation == 0:
                    await self._register()
                else:
                    await self._send_heartbeat()
                await self._wait_for_heartbeat_time()

    async def _wait_for_heartbeat_time(self) -> None:
        interval = self._options.heartbeat_interval_ms
        with trio.move_on_after(interval / _MS_PER_SECOND):
            await self._wake.wait()
        self._wake = trio.Event()

    async def _register(self) -> None:
        sent_ms = self._clock.now_ms()
        reply = await self._client.call(
            self._registration(),
            _REGISTER_TIMEOUT_MS,
        )
        if not isinstance(reply, Registered):
            return
        self._apply_configuration(reply.revision, reply.configuration)
        self._ended_through = reply.ended_through
        self._listener.entries_ended(reply.ended)
        self._incarnation = reply.incarnation
        self._confirmed_ms = sent_ms
        self._listener.incarnation_started(reply.incarnation)
        self._wake.set()

    async def _send_heartbeat(self) -> None:
        sent_ms = self._clock.now_ms()
        reply = await self._client.call(
            self._heartbeat_request(),
            self._options.heartbeat_timeout_ms,
        )
        if isinstance(reply, HeartbeatReply):
            self._handle_heartbeat_reply(reply, sent_ms)
        elif self._has_ended(reply):
            self._incarnation = 0
            self._listener.incarnation_ended()
            self._wake.set()

    def _heartbeat_request(self) -> Heartbeat:
        return Heartbeat(
            self._incarnation,
            self._revision,
            self._ended_through,
            self._leaving,
            self._free_slots,
        )

    def _handle_heartbeat_reply(
        self, reply: HeartbeatReply, sent_ms: Milliseconds
    ) -> None:
        if reply.revision < self._revision:
            # The reply is from a deposed leader or was delayed, and must not
            # renew the lease of the newer revision.
            return
        newer = reply.revision > self._revision
        self._apply_configuration(reply.revision, reply.configuration)
        if reply.revision > self._revision:
            # The newer configuration could not be decoded. The older one stays
            # in use, and its lease must not be renewed.
            return
        self._ended_through = reply.ended_through
        self._live_entries = reply.live_entries
        if reply.ended:
            self._listener.entries_ended(reply.ended)
        self._confirmed_ms = sent_ms
        if newer:
            # The next heartbeat confirms to control that this revision is in
            # use; send it without waiting for the interval.
            self._wake.set()

    def _apply_configuration(self, revision: int, document: bytes) -> None:
        if revision <= self._revision or not document:
            return
        configuration = decode_configuration(document)
        if isinstance(configuration, Failure):
            return
        self._revision = revision
        self._configuration = configuration
        self._listener.configuration_changed(configuration)

    def _has_ended(self, reply: object) -> bool:
        ended = FailureReason.INCARNATION_ENDED
        return isinstance(reply, Failure) and reply.reason is ended
