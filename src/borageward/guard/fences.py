"""Fences against entry incarnations that have ended."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable


class IncarnationFences:
    """Ended entry incarnations, kept for the lifetime of the guard."""

    def __init__(self) -> None:
        """Prepare without fences."""
        self._ended: set[int] = set()
        self._fenced_by: defaultdict[int, set[int]] = defaultdict(set)

    def add(self, ended: Iterable[int]) -> tuple[int, ...]:
        """Fence incarnations and return those that were not fenced before."""
        fresh = tuple(number for number in ended if number not in self._ended)
        self._ended.update(fresh)
        return fresh

    def record_request(self, asking: int, ended: int) -> None:
        """Remember which incarnation asked for a fence."""
        self._fenced_by[asking].add(ended)

    def blocks(self, incarnation: int) -> bool:
        """Tell whether an incarnation is fenced."""
        return incarnation in self._ended

    def lineage(self, ended: int) -> set[int]:
        """Return an incarnation with all those that it fenced here.

        An owner that ended in the middle of a takeover has jobs here that
        only its predecessor started.
        """
        found: set[int] = set()
        waiting = [ended]
        while waiting:
            number = waiting.pop()
            if number not in found:
                found.add(number)
                waiting.extend(self._fenced_by.get(number, ()))
        return found
