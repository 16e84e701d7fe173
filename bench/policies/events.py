"""Virtual time."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any

from borageward.clock import Milliseconds


class EventHeap:
    """Calls functions in order of virtual time."""

    def __init__(self) -> None:
        """Start at time zero."""
        self._heap: list[Any] = []
        self._numbers = itertools.count()
        self.now_ms: Milliseconds = 0

    def at(
        self,
        time_ms: Milliseconds,
        call: Callable[..., None],
        *arguments: object,
    ) -> None:
        """Call a function at a time."""
        entry = (time_ms, next(self._numbers), call, arguments)
        heapq.heappush(self._heap, entry)

    def after(
        self,
        delay_ms: Milliseconds,
        call: Callable[..., None],
        *arguments: object,
    ) -> None:
        """Call a function after a delay."""
        self.at(self.now_ms + delay_ms, call, *arguments)

    def run(self) -> None:
        """Run until nothing is left."""
        while self._heap:
            time_ms, _, call, arguments = heapq.heappop(self._heap)
            self.now_ms = time_ms
            call(*arguments)
