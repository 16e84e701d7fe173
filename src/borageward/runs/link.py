"""Message link between the guard and one entry."""

from __future__ import annotations

from collections.abc import Callable

import trio

from borageward.failures import Failure
from borageward.messages.runs import EntryMessage, GuardMessage
from borageward.transport import FrameConnection, LinkClosed


class EntryLink:
    """Duplex link whose outgoing messages are queued.

    The queue has no size limit of its own. An entry that stops reading cannot
    echo newer time stamps, so its session expires and the queue stops growing.
    """

    def __init__(self, stream: trio.abc.Stream) -> None:
        """Create the link on an accepted stream."""
        self._connection: FrameConnection[EntryMessage] = FrameConnection(
            stream,
            EntryMessage,
        )
        self._outgoing: list[GuardMessage] = []
        self._posted = trio.Event()

    def post(self, message: GuardMessage) -> None:
        """Queue a message; the messages queued together use one write."""
        self._outgoing.append(message)
        self._posted.set()

    async def run(self, handler: Callable[[EntryMessage], None]) -> None:
        """Pass received messages to the handler until the link is closed."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write)
            try:
                await self._read(handler)
            except LinkClosed:
                nursery.cancel_scope.cancel()

    async def close(self) -> None:
        """Close the link; messages that are still queued are not sent."""
        await self._connection.close()

    async def _read(self, handler: Callable[[EntryMessage], None]) -> None:
        while True:
            message = await self._connection.receive()
            if isinstance(message, Failure):
                raise LinkClosed
            handler(message)

    async def _write(self) -> None:
        while True:
            await self._posted.wait()
            self._posted = trio.Event()
            outgoing = self._outgoing
            self._outgoing = []
            try:
                await self._connection.send_all(outgoing)
            except LinkClosed:
                await self._connection.close()
                return
