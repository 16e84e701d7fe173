"""Fencing of entry incarnations that have ended."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable


class IncarnationFences:
    """Fenced entry incarnations, kept for the lifetime of the guard."""

    def __init__(self) -> None:
        """Create an empty set of fences."""
        self._ended: set[int] = set()
        self._fenced_by: defaultdict[int, set[int]] = defaultdict(set)

    def add(self, ended: Iterable[int]) -> tuple[int, ...]:
        """Fence incarnations and return those that were not fenced before."""
        newly_fenced = tuple(
            number for number in ended if number not in self._ended
        )
        self._ended.update(newly_fenced)
        return newly_fenced

    def record_request(self, requester: int, ended: int) -> None:
        """Record which entry incarnation requested the fence of another."""
        self._fenced_by[requester].add(ended)

    def is_fenced(self, incarnation: int) -> bool:
        """Return whether an entry incarnation is fenced."""
        return incarnation in self._ended

    def with_predecessors(self, ended: int) -> set[int]:
        """Return an incarnation and, recursively, those that it had fenced.

        An entry that ends in the middle of a takeover owns jobs whose tasks at
        this guard were all started by its predecessor.
        """
        found: set[int] = set()
        to_visit = [ended]
        while to_visit:
            number = to_visit.pop()
            if number not in found:
                found.add(number)
                to_visit.extend(self._fenced_by.get(number, ()))
        return found
