"""Event queue and clock of the simulation, in virtual time."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any

from borageward.clock import Milliseconds


class EventHeap:
    """Calls functions in order of virtual time.

    Calls scheduled for the same time are made in the order of scheduling.
    """

    def __init__(self) -> None:
        """Create an empty heap at time zero."""
        self._heap: list[Any] = []
        self._sequence_numbers = itertools.count()
        self.now_ms: Milliseconds = 0

    def call_at(
        self,
        time_ms: Milliseconds,
        callback: Callable[..., None],
        *arguments: object,
    ) -> None:
        """Schedule a call for a point in virtual time."""
        event = (time_ms, next(self._sequence_numbers), callback, arguments)
        heapq.heappush(self._heap, event)

    def call_after(
        self,
        delay_ms: Milliseconds,
        callback: Callable[..., None],
        *arguments: object,
    ) -> None:
        """Schedule a call after a delay."""
        self.call_at(self.now_ms + delay_ms, callback, *arguments)

    def run(self) -> None:
        """Make all scheduled calls, including those that they schedule."""
        while self._heap:
            time_ms, _, callback, arguments = heapq.heappop(self._heap)
            self.now_ms = time_ms
            callback(*arguments)
