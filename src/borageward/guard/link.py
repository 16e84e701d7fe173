"""One link to an entry: what waits to be sent on it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import trio

from borageward.guard.results import TaskKey
from borageward.messages.guard import EntryToGuard, TasksFinished
from borageward.transport import FrameConnection, LinkClosed

# An entry that stops reading loses its link, so that it costs bounded memory.
_MAX_WAITING_MESSAGES = 4096
_SEND_TIMEOUT_S = 10.0

Composer = Callable[[list[TaskKey]], list[TasksFinished]]


class EntryLink:
    """Send side of a link.

    Results wait as task keys and are composed when they are sent, so those
    that finish together leave in one message.
    """

    def __init__(
        self,
        connection: FrameConnection[EntryToGuard],
        compose: Composer,
    ) -> None:
        """Prepare a link whose entry has not introduced itself."""
        self._connection = connection
        self._compose = compose
        self._messages: list[Any] = []
        self._results: dict[TaskKey, None] = {}
        self._wake = trio.Event()
        self._sending = False
        self._ended = False
        self.incarnation = 0

    @property
    def connection(self) -> FrameConnection[EntryToGuard]:
        """Return the connection."""
        return self._connection

    @property
    def idle(self) -> bool:
        """Tell whether everything posted has been written."""
        return not (self._messages or self._results or self._sending)

    def post(self, message: Any) -> None:
        """Send a message soon."""
        self._messages.append(message)
        self._ended = self._ended or len(self._messages) > _MAX_WAITING_MESSAGES
        self._wake.set()

    def push(self, key: TaskKey) -> None:
        """Send the result of a task soon."""
        self._results[key] = None
        self._wake.set()

    def end(self) -> None:
        """Close the link after what waits is sent."""
        self._ended = True
        self._wake.set()

    async def run_sender(self) -> None:
        """Send what waits until the link breaks, then close it."""
        try:
            while not self._ended:
                await self._wake.wait()
                await self._send_waiting()
        except LinkClosed:
            self._messages.clear()
        await self._connection.close()

    async def _send_waiting(self) -> None:
        # Results that arrive in the same turn of the loop join the message.
        await trio.lowlevel.checkpoint()
        self._wake = trio.Event()
        waiting = self._messages
        self._messages = []
        waiting.extend(self._compose(list(self._results)))
        self._results.clear()
        self._sending = True
        with trio.move_on_after(_SEND_TIMEOUT_S) as scope:
            for message in waiting:
                await self._connection.send(message)
        self._sending = False
        if scope.cancelled_caught:
            raise LinkClosed
