"""Repeatable notification of waiting trio tasks."""

from __future__ import annotations

import trio


class Signal:
    """Event that can be set repeatedly.

    ``notify`` wakes the tasks that are waiting at that moment; a task that
    calls ``wait`` later waits for the next ``notify``.
    """

    def __init__(self) -> None:
        """Create a signal without waiting tasks."""
        self._event = trio.Event()

    def notify(self) -> None:
        """Wake all waiting tasks."""
        event = self._event
        self._event = trio.Event()
        event.set()

    async def wait(self) -> None:
        """Wait until ``notify`` is called the next time."""
        await self._event.wait()
