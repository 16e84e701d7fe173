"""Send queue of one link to an entry."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import trio

from borageward.guard.results import TaskKey
from borageward.messages.guard import EntryToGuard, TasksFinished
from borageward.transport import FrameConnection, LinkClosed

# Bounds the memory for an entry that stops reading: its link is closed.
_MAX_QUEUED_MESSAGES = 4096
_SEND_TIMEOUT_S = 10.0

Composer = Callable[[list[TaskKey]], list[TasksFinished]]


class EntryLink:
    """Send side of a link.

    Results are queued as task keys and composed into messages when they are
    sent, so results that finish together share a message. ``incarnation`` is
    zero until the entry has sent ``Hello``.
    """

    def __init__(
        self,
        connection: FrameConnection[EntryToGuard],
        compose: Composer,
    ) -> None:
        """Create a link; ``compose`` builds the messages of results."""
        self._connection = connection
        self._compose = compose
        self._messages: list[Any] = []
        self._results: dict[TaskKey, None] = {}
        self._wake = trio.Event()
        self._sending = False
        self._closing = False
        self.incarnation = 0

    @property
    def connection(self) -> FrameConnection[EntryToGuard]:
        """Return the connection."""
        return self._connection

    @property
    def idle(self) -> bool:
        """Return whether all queued messages and results have been written."""
        return not (self._messages or self._results or self._sending)

    def post(self, message: Any) -> None:
        """Queue a message; the link closes when the queue is too long."""
        self._messages.append(message)
        self._closing = (
            self._closing or len(self._messages) > _MAX_QUEUED_MESSAGES
        )
        self._wake.set()

    def push_result(self, key: TaskKey) -> None:
        """Queue the result of a task."""
        self._results[key] = None
        self._wake.set()

    def request_close(self) -> None:
        """Close the link after the batch being sent, or else the queued one."""
        self._closing = True
        self._wake.set()

    async def run_sender(self) -> None:
        """Send queued messages until the link breaks or is to be closed.

        The connection is closed at the end, also when the queued messages
        could not be sent in time.
        """
        try:
            while not self._closing:
                await self._wake.wait()
                await self._send_queued()
        except LinkClosed:
            self._messages.clear()
        await self._connection.close()

    async def _send_queued(self) -> None:
        # Yields once, so that results queued in the same iteration of the
        # event loop share a message.
        await trio.lowlevel.checkpoint()
        self._wake = trio.Event()
        queued = self._messages
        self._messages = []
        queued.extend(self._compose(list(self._results)))
        self._results.clear()
        self._sending = True
        with trio.move_on_after(_SEND_TIMEOUT_S) as scope:
            for message in queued:
                await self._connection.send(message)
        self._sending = False
        if scope.cancelled_caught:
            raise LinkClosed
