"""Registration, heartbeats and the configuration lease of one process."""

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
    """Reacts to changes that the session learns."""

    def incarnation_started(self, incarnation: int) -> None:
        """Use a new incarnation; the previous one, if any, has ended."""

    def incarnation_ended(self) -> None:
        """Stop using the incarnation; control has ended it."""

    def entries_ended(self, incarnations: tuple[int, ...]) -> None:
        """Fence entry incarnations that have ended."""

    def configuration_changed(self, configuration: Configuration) -> None:
        """Use a newer configuration."""


@attrs.frozen(slots=True)
class SessionOptions:
    """Times of a session in milliseconds."""

    heartbeat_interval_ms: Milliseconds
    heartbeat_timeout_ms: Milliseconds


class MembershipSession:
    """Keeps one process registered with control.

    The revision never goes back. The configuration lease counts from the
    moment the confirmed heartbeat was sent, so a process that was frozen or
    cut off finds it expired.
    """

    def __init__(
        self,
        client: ControlClient,
        clock: Clock,
        registration: Registration,
        listener: MembershipListener,
        options: SessionOptions,
    ) -> None:
        """Prepare a session; ``registration`` makes a request, new nonce."""
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
        """Return the incarnation in use, or zero without one."""
        return self._incarnation

    @property
    def revision(self) -> int:
        """Return the highest revision seen."""
        return self._revision

    @property
    def configuration(self) -> Configuration:
        """Return the configuration of the highest revision seen."""
        return self._configuration

    @property
    def live_entries(self) -> int:
        """Return the number of live entries that control last told."""
        return self._live_entries

    def lease_valid(self) -> bool:
        """Tell whether the revision was confirmed within the lease."""
        if self._incarnation == 0 or self._confirmed_ms is None:
            return False
        lease_ms = self._configuration.limits.configuration_lease_ms
        return self._clock.now_ms() - self._confirmed_ms < lease_ms

    def report_free_slots(self, free_slots: int) -> None:
        """Use a number of free slots in later heartbeats."""
        self._free_slots = free_slots

    def announce_leaving(self) -> None:
        """Tell control at once that the process takes no new work."""
        self._leaving = True
        self._wake.set()

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to register and to send heartbeats."""
        nursery.start_soon(self._run)

    async def close(self) -> None:
        """Stop heartbeats and end the incarnation at control."""
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
                    await self._heartbeat()
                await self._pause()

    async def _pause(self) -> None:
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
        self._adopt(reply.revision, reply.configuration)
        self._ended_through = reply.ended_through
        self._listener.entries_ended(reply.ended)
        self._incarnation = reply.incarnation
        self._confirmed_ms = sent_ms
        self._listener.incarnation_started(reply.incarnation)
        self._wake.set()

    async def _heartbeat(self) -> None:
        sent_ms = self._clock.now_ms()
        reply = await self._client.call(
            self._heartbeat_request(),
            self._options.heartbeat_timeout_ms,
        )
        if isinstance(reply, HeartbeatReply):
            self._confirm(reply, sent_ms)
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

    def _confirm(self, reply: HeartbeatReply, sent_ms: Milliseconds) -> None:
        if reply.revision < self._revision:
            # A stale leader must not renew the lease of a newer revision.
            return
        newer = reply.revision > self._revision
        self._adopt(reply.revision, reply.configuration)
        if reply.revision > self._revision:
            # A document that cannot be read leaves an old policy in use,
            # whose lease must run out.
            return
        self._ended_through = reply.ended_through
        self._live_entries = reply.live_entries
        if reply.ended:
            self._listener.entries_ended(reply.ended)
        self._confirmed_ms = sent_ms
        if newer:
            # Control learns from the next heartbeat that it is in force.
            self._wake.set()

    def _adopt(self, revision: int, document: bytes) -> None:
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
