"""Link of an entry to one guard incarnation."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol, TypeAlias

import attrs
import trio

from borageward.clock import Clock, Milliseconds
from borageward.entry.acknowledgements import Acknowledgements
from borageward.entry.guardconnection import (
    Dial,
    GuardConnection,
    open_connection,
)
from borageward.failures import Failure, FailureReason, RunState
from borageward.identity import JobId
from borageward.messages.control import GuardMember
from borageward.messages.guard import (
    EntryToGuard,
    Fence,
    Fenced,
    GuardLoad,
    GuardToEntry,
    Hello,
    Settle,
    Settled,
    StartTasks,
    Welcome,
)

# Key of an expected reply: the fenced incarnation, or the settled job and
# task indexes.
_ReplyKey: TypeAlias = int | tuple[JobId, frozenset[int]]

_BACKOFF_MIN_MS = 20.0
_BACKOFF_MAX_MS = 500.0
# The open tasks of an ended guard fail after this time without a message.
_SILENCE_TIMEOUT_MS = 1000.0


class LinkEvents(Protocol):
    """Callbacks for the events of guard links."""

    def link_up(self, link: GuardLink) -> None:
        """Handle a new connection or a link that has become placeable."""

    def settle_open(self, link: GuardLink) -> None:
        """Ask the guard for the state of every open task sent to it."""

    def link_down(self, link: GuardLink) -> None:
        """Handle a broken connection or a link no longer placeable."""

    def prepare_start(
        self,
        link: GuardLink,
        message: StartTasks,
    ) -> StartTasks | None:
        """Return the start to write now, marked as sent, or ``None``."""

    def message_received(self, link: GuardLink, message: GuardToEntry) -> None:
        """Handle a message that is no reply to ``fence`` or ``settle``."""

    def guard_lost(self, link: GuardLink, failure: Failure) -> None:
        """Resolve all open tasks of a guard that has restarted or ended."""


@attrs.frozen(slots=True)
class LinkContext:
    """Components that all links of an entry share.

    ``hello`` returns the first message of a new connection.
    """

    dial: Dial
    hello: Callable[[], Hello]
    events: LinkEvents
    clock: Clock


class GuardLink:
    """Stays connected to a guard until control has ended its incarnation.

    ``open_tasks`` maps jobs to the indexes of their tasks that are posted or
    sent and not yet resolved. ``load`` is the last load that the guard
    reported, ``load_ms`` the monotonic time of that report. ``pins`` counts
    the calls of ``Directory.link_to`` without a matching ``unpin``.
    """

    def __init__(
        self,
        member: GuardMember,
        context: LinkContext,
        placeable: bool,
    ) -> None:
        """Create a link; ``run`` connects it.

        No tasks are placed over a link that is not ``placeable``; it serves
        fences and settlements only.
        """
        self.member = member
        self.placeable = placeable
        self.pins = 0
        self.open_tasks: dict[JobId, set[int]] = {}
        self.welcome: Welcome | None = None
        self.load: GuardLoad | None = None
        self.load_ms: Milliseconds = 0
        self.acknowledgements = Acknowledgements(self.post)
        self._context = context
        self._outbox: deque[EntryToGuard] = deque()
        self._wake = trio.Event()
        self._scope = trio.CancelScope()
        self._connection_scope = trio.CancelScope()
        self._retired = trio.Event()
        self._connected = trio.Event()
        self._received_ms: Milliseconds = 0
        self._replies: dict[_ReplyKey, _PendingReply] = {}

    @property
    def incarnation(self) -> int:
        """Return the incarnation of the guard."""
        return self.member.incarnation

    @property
    def worker(self) -> str:
        """Return the name of the guard's worker."""
        return self.member.worker

    @property
    def is_connected(self) -> bool:
        """Return whether the handshake of the connection is complete."""
        return self.welcome is not None

    def add_open_task(self, job_id: JobId, index: int) -> None:
        """Add a task to the open tasks of the guard."""
        self.open_tasks.setdefault(job_id, set()).add(index)

    def remove_open_task(self, job_id: JobId, index: int) -> None:
        """Remove a task from the open tasks of the guard, if it is there."""
        indexes = self.open_tasks.get(job_id)
        if indexes is None:
            return
        indexes.discard(index)
        if not indexes:
            self.open_tasks.pop(job_id)

    def post(self, message: EntryToGuard) -> None:
        """Queue a message for sending.

        The message is dropped if the link is not connected, or if the
        connection breaks before the message is written.
        """
        if self.is_connected:
            self._outbox.append(message)
            self._wake.set()

    def make_placeable(self) -> None:
        """Allow the placement of tasks at the guard."""
        self.placeable = True
        if self.is_connected:
            self._context.events.link_up(self)

    def make_unplaceable(self) -> None:
        """Place no more tasks at the guard; sent tasks stay open."""
        if self.placeable:
            self.placeable = False
            self._context.events.link_down(self)

    def reconnect(self) -> None:
        """Replace the connection after the entry got a new incarnation."""
        self._connection_scope.cancel()

    def retire(self) -> None:
        """End the link once its open tasks are resolved."""
        self._retired.set()

    def close(self) -> None:
        """End the link at once."""
        self._scope.cancel()

    async def run(self) -> None:
        """Connect, and reconnect after failures, until the link ends."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._connect_forever)
                nursery.start_soon(self.acknowledgements.run)
                await self._retired.wait()
                await self._settle_open_tasks()
                nursery.cancel_scope.cancel()

    async def fence(self, message: Fence) -> Fenced | None:
        """Fence an entry incarnation and return the guard's confirmation.

        Repeats the request on each new connection; the caller sets a timeout.
        """
        reply = await self._request_reply(message.ended, message)
        return reply if isinstance(reply, Fenced) else None

    async def settle(self, message: Settle) -> Settled | None:
        """Ask for the states of tasks and return the guard's reply.

        Repeats the request on each new connection; the caller sets a timeout.
        """
        # Settlements of one job for several earlier owners may overlap.
        key = (message.job_id, frozenset(message.indexes))
        reply = await self._request_reply(key, message)
        return reply if isinstance(reply, Settled) else None

    async def _request_reply(
        self,
        key: _ReplyKey,
        message: Fence | Settle,
    ) -> GuardToEntry | None:
        reply = self._replies.setdefault(key, _PendingReply())
        try:  # noqa: WPS501 the pending reply is removed on every path
            while reply.message is None:
                await self._connected.wait()
                self.post(message)
                await reply.wait()
        finally:
            self._replies.pop(key, None)
        return reply.message

    async def _connect_forever(self) -> None:
        backoff_ms = _BACKOFF_MIN_MS
        while True:
            if await self._connect_once():
                backoff_ms = _BACKOFF_MIN_MS
            await self._context.clock.sleep_ms(backoff_ms)
            backoff_ms = min(backoff_ms * 2, _BACKOFF_MAX_MS)

    async def _connect_once(self) -> bool:
        self._connection_scope = trio.CancelScope()
        with self._connection_scope:
            connection = await open_connection(
                self._context.dial,
                self.member.link_address,
            )
            if connection is None:
                return False
            try:  # noqa: WPS501 the link is down on every path
                return await self._run_connection(connection)
            finally:
                self._mark_disconnected()
                await connection.close()
        return False

    async def _run_connection(self, connection: GuardConnection) -> bool:
        welcome = await connection.handshake(self._context.hello())
        if welcome is None:
            return False
        if welcome.guard_incarnation != self.incarnation:
            self._context.events.guard_lost(self, _guard_restarted())
            return False
        self._mark_connected(welcome)
        await connection.run(self._receive, self._next_message)
        return True

    async def _next_message(self) -> EntryToGuard:
        while True:
            if not self._outbox:
                self._wake = trio.Event()
                await self._wake.wait()
                continue
            message: EntryToGuard | None = self._outbox.popleft()
            if isinstance(message, StartTasks):
                message = self._context.events.prepare_start(self, message)
            if message is not None:
                return message

    def _receive(self, message: GuardToEntry) -> None:
        self._received_ms = self._context.clock.now_ms()
        reply: _PendingReply | None = None
        if isinstance(message, Fenced):
            reply = self._replies.get(message.ended)
        elif isinstance(message, Settled):
            indexes = frozenset(report.index for report in message.reports)
            reply = self._replies.get((message.job_id, indexes))
        if reply is None:
            self._context.events.message_received(self, message)
        else:
            reply.deliver(message)

    def _mark_connected(self, welcome: Welcome) -> None:
        self.welcome = welcome
        self._connected.set()
        self._context.events.link_up(self)

    def _mark_disconnected(self) -> None:
        if self.welcome is None:
            return
        self.welcome = None
        self._connected = trio.Event()
        self._outbox.clear()
        for reply in self._replies.values():
            reply.interrupt()
        self._context.events.link_down(self)

    async def _settle_open_tasks(self) -> None:
        """Settle the open tasks of an ended guard while it still answers.

        Afterwards the remaining tasks are resolved with a failure.
        """
        self.make_unplaceable()
        while self.is_connected and self.open_tasks:
            asked_ms = self._context.clock.now_ms()
            self._context.events.settle_open(self)
            await self._context.clock.sleep_ms(_SILENCE_TIMEOUT_MS)
            if self._received_ms < asked_ms:
                break
        self._context.events.guard_lost(self, _guard_ended())


class _PendingReply:
    """Holder of the awaited reply to a fence or a settlement.

    ``interrupt`` wakes the waiters without a reply when the connection breaks.
    """

    def __init__(self) -> None:
        self.message: GuardToEntry | None = None
        self._event = trio.Event()

    def deliver(self, message: GuardToEntry) -> None:
        self.message = message
        self._event.set()

    def interrupt(self) -> None:
        self._event.set()
        self._event = trio.Event()

    async def wait(self) -> None:
        await self._event.wait()


def _guard_restarted() -> Failure:
    return Failure(
        FailureReason.GUARD_RESTARTED,
        'the guard restarted and does not know whether the task ran',
        RunState.MAY_HAVE_RUN,
    )


def _guard_ended() -> Failure:
    return Failure(
        FailureReason.GUARD_UNREACHABLE,
        'control ended the guard incarnation before the task was settled',
        RunState.MAY_HAVE_RUN,
    )
