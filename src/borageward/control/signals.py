"""Notification of several waiting tasks."""

from __future__ import annotations

import trio


class Signal:
    """Wakes every task that waits at the moment of ``notify``."""

    def __init__(self) -> None:
        """Start without waiting tasks."""
        self._event = trio.Event()

    def notify(self) -> None:
        """Wake all waiting tasks."""
        event = self._event
        self._event = trio.Event()
        event.set()

    async def wait(self) -> None:
        """Wait for the next ``notify``."""
        await self._event.wait()
