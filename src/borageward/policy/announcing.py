"""Which entries a guard tells its load between answers.

An entry whose tasks are not at a guard gets no answers from it, so its view
of the guard ages. The entries whose last report differs most from the load
now are told, within a budget in messages for each start.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, Protocol, TypeVar

from borageward.configuration import Limits
from borageward.messages.guard import GuardLoad

_BURST_MESSAGES = 8.0

Link = TypeVar('Link', bound=Hashable)


class LoadAnnouncer(Protocol[Link]):
    """Decides on announcements of a guard's load."""

    def configure(self, limits: Limits) -> None:
        """Use new limits."""

    def load_sent(self, link: Link, load: GuardLoad) -> None:
        """Learn that an entry was sent a load with any message."""

    def dropped(self, link: Link) -> None:
        """Forget an entry whose link is gone."""

    def started(self, count: int) -> None:
        """Earn the budget of a number of starts."""

    def due(self, load: GuardLoad) -> list[Link]:
        """Return the entries to tell a load now; they count as told."""


class BudgetedAnnouncer(Generic[Link]):
    """Tell the entries with the most outdated view."""

    def __init__(self, limits: Limits | None = None) -> None:
        """Start without links and without budget."""
        self._limits = limits or Limits()
        self._told: dict[Link, int] = {}
        self._tokens: float = 0

    def configure(self, limits: Limits) -> None:
        """Use new limits."""
        self._limits = limits

    def load_sent(self, link: Link, load: GuardLoad) -> None:
        """Learn that an entry was sent a load with any message."""
        self._told[link] = _occupancy(load)

    def dropped(self, link: Link) -> None:
        """Forget an entry whose link is gone."""
        self._told.pop(link, None)

    def started(self, count: int) -> None:
        """Earn the budget of a number of starts."""
        earned = self._tokens + count * self._limits.announcements_per_start
        self._tokens = min(_BURST_MESSAGES, earned)

    def due(self, load: GuardLoad) -> list[Link]:
        """Return the entries to tell a load now; they count as told."""
        if self._tokens < 1:
            return []
        current = _occupancy(load)
        changes = {
            link: abs(current - load_sent)
            for link, load_sent in self._told.items()
        }
        outdated = [
            link
            for link, change in changes.items()
            if change >= self._limits.announced_change_tasks
        ]
        outdated.sort(key=changes.__getitem__, reverse=True)
        chosen = outdated[: int(self._tokens)]
        self._tokens -= len(chosen)
        for link in chosen:
            self._told[link] = current
        return chosen


class SilentAnnouncer(Generic[Link]):
    """Baseline: loads travel on answers only."""

    def __init__(self, limits: Limits | None = None) -> None:
        """Need no limits."""

    def configure(self, limits: Limits) -> None:
        """Use no limit."""

    def load_sent(self, link: Link, load: GuardLoad) -> None:
        """Learn nothing."""

    def dropped(self, link: Link) -> None:
        """Forget nothing."""

    def started(self, count: int) -> None:
        """Earn nothing."""

    def due(self, load: GuardLoad) -> list[Link]:
        """Return no entry."""
        return []


def _occupancy(load: GuardLoad) -> int:
    running = load.slots - load.free_slots
    return running + load.queued_short + load.queued_long
