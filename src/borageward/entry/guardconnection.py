"""One connection of a guard link: handshake, reading and writing."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from borageward.failures import Failure
from borageward.messages.guard import (
    EntryToGuard,
    GuardToEntry,
    Hello,
    Welcome,
)
from borageward.transport import FrameConnection, LinkClosed

Dial = Callable[[str], Awaitable[trio.abc.Stream]]

HANDSHAKE_TIMEOUT_S = 1.0


class GuardConnection:
    """Duplex connection to a guard that ends when either direction breaks."""

    def __init__(self, frames: FrameConnection[GuardToEntry]) -> None:
        """Wrap an open frame connection."""
        self._frames = frames

    async def handshake(self, hello: Hello) -> Welcome | None:
        """Send ``hello`` and return the guard's ``Welcome``.

        Returns ``None`` if the connection breaks, the reply is another message
        or none arrives within ``HANDSHAKE_TIMEOUT_S``.
        """
        with trio.move_on_after(HANDSHAKE_TIMEOUT_S):
            try:
                await self._frames.send(hello)
            except LinkClosed:
                return None
            reply = await self._receive()
            return reply if isinstance(reply, Welcome) else None
        return None

    async def run(
        self,
        receive: Callable[[GuardToEntry], None],
        next_message: Callable[[], Awaitable[EntryToGuard]],
    ) -> None:
        """Pass messages in both directions until the connection breaks.

        ``receive`` gets each message of the guard, ``next_message`` waits for
        the next message to send. A malformed message ends the connection.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write, next_message, nursery)
            message = await self._receive()
            while message is not None:
                receive(message)
                message = await self._receive()
            nursery.cancel_scope.cancel()

    async def close(self) -> None:
        """Close the connection immediately."""
        await self._frames.close()

    async def _receive(self) -> GuardToEntry | None:
        try:
            message = await self._frames.receive()
        except LinkClosed:
            return None
        return None if isinstance(message, Failure) else message

    async def _write(
        self,
        next_message: Callable[[], Awaitable[EntryToGuard]],
        nursery: trio.Nursery,
    ) -> None:
        while True:
            message = await next_message()
            try:
                await self._frames.send(message)
            except LinkClosed:
                nursery.cancel_scope.cancel()
                return


async def open_connection(
    dial: Dial,
    address: str,
) -> GuardConnection | None:
    """Connect to the link address of a guard.

    Returns ``None`` if the guard cannot be reached within
    ``HANDSHAKE_TIMEOUT_S``.
    """
    with trio.move_on_after(HANDSHAKE_TIMEOUT_S):
        try:
            stream = await dial(address)
        except (OSError, trio.BrokenResourceError):
            return None
        return GuardConnection(FrameConnection(stream, GuardToEntry))
    return None
