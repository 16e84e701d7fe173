"""Announcements of a guard's load to entries.

Loads are sent along with answers to tasks. An entry without tasks at a guard
gets no answers, so its view of the guard becomes outdated. The guard therefore
announces its load to the entries whose last known load differs most from the
current one. A budget limits the number of announcements per task start.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, Protocol, TypeVar

from borageward.configuration import Limits
from borageward.messages.guard import GuardLoad

# Largest number of saved-up announcements.
_BURST_MESSAGES = 8.0

Link = TypeVar('Link', bound=Hashable)


class LoadAnnouncer(Protocol[Link]):
    """Decides to which entries a guard's load is announced."""

    def configure(self, limits: Limits) -> None:
        """Apply changed limits."""

    def load_sent(self, link: Link, load: GuardLoad) -> None:
        """Record that a load was sent to an entry with any message."""

    def remove_link(self, link: Link) -> None:
        """Remove an entry whose link is closed."""

    def started(self, count: int) -> None:
        """Add the budget for a number of task starts."""

    def due(self, load: GuardLoad) -> list[Link]:
        """Return the entries to send a load to now.

        The load is recorded as sent to them.
        """


class BudgetedAnnouncer(Generic[Link]):
    """Announces the load to the entries with the most outdated view."""

    def __init__(self, limits: Limits | None = None) -> None:
        """Create an announcer without links and without budget."""
        self._limits = limits or Limits()
        self._last_occupancy: dict[Link, int] = {}
        self._tokens: float = 0

    def configure(self, limits: Limits) -> None:
        """Apply changed limits."""
        self._limits = limits

    def load_sent(self, link: Link, load: GuardLoad) -> None:
        """Record that a load was sent to an entry with any message."""
        self._last_occupancy[link] = _occupancy(load)

    def remove_link(self, link: Link) -> None:
        """Remove an entry whose link is closed."""
        self._last_occupancy.pop(link, None)

    def started(self, count: int) -> None:
        """Add the budget for a number of task starts."""
        earned = self._tokens + count * self._limits.announcements_per_start
        self._tokens = min(_BURST_MESSAGES, earned)

    def due(self, load: GuardLoad) -> list[Link]:
        """Return the entries whose last known load differs most, if any.

        Each entry uses up one announcement of the budget, and the load is
        recorded as sent to it.
        """
        if self._tokens < 1:
            return []
        current = _occupancy(load)
        changes = {
            link: abs(current - reported)
            for link, reported in self._last_occupancy.items()
        }
        outdated_links = [
            link
            for link, change in changes.items()
            if change >= self._limits.announced_change_tasks
        ]
        outdated_links.sort(key=changes.__getitem__, reverse=True)
        chosen = outdated_links[: int(self._tokens)]
        self._tokens -= len(chosen)
        for link in chosen:
            self._last_occupancy[link] = current
        return chosen


class SilentAnnouncer(Generic[Link]):
    """Baseline without announcements, so loads are sent with answers only."""

    def __init__(self, limits: Limits | None = None) -> None:
        """Ignore the limits."""

    def configure(self, limits: Limits) -> None:
        """Ignore the limits."""

    def load_sent(self, link: Link, load: GuardLoad) -> None:
        """Ignore the load."""

    def remove_link(self, link: Link) -> None:
        """Do nothing, because no links are kept."""

    def started(self, count: int) -> None:
        """Ignore the starts."""

    def due(self, load: GuardLoad) -> list[Link]:
        """Return an empty list."""
        return []


def _occupancy(load: GuardLoad) -> int:
    """Return the number of running and queued tasks."""
    running = load.slots - load.free_slots
    return running + load.queued_short + load.queued_long
