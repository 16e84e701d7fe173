"""Shares of the runner slots for each service, with borrowing.

A service below its quota goes first, so slots that others borrowed return to
it as soon as a task of theirs ends. What is left is shared by weight.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import Protocol

from borageward.configuration import Configuration, Service

_DEFAULT_DEADLINE_MS = 5000
_LEAST_WEIGHT = 0.001


class ServiceShares(Protocol):
    """Orders services and tells the share of the capacity of each."""

    def configure(self, configuration: Configuration, entries: int) -> None:
        """Use new quotas, split over the live entries."""

    def started(self, service: str) -> None:
        """Count a task of a service that was sent to a guard."""

    def ended(self, service: str) -> None:
        """Count a task of a service that left its guard."""

    def rank(self, service: str) -> tuple[bool, float]:
        """Return a sort key; the smallest goes first."""

    def share(
        self,
        service: str,
        waiting: Iterable[str],
        slots: int,
    ) -> float:
        """Return the share of all slots that a service can count on."""


class FairShares:
    """Quotas first, then weighted shares of what is in use."""

    def __init__(self, configuration: Configuration) -> None:
        """Start without work."""
        self._services = configuration.services
        self._entries = 1
        self._in_flight: defaultdict[str, int] = defaultdict(int)

    def configure(self, configuration: Configuration, entries: int) -> None:
        """Use new quotas, split over the live entries."""
        self._services = configuration.services
        self._entries = max(1, entries)

    def started(self, service: str) -> None:
        """Count a task of a service that was sent to a guard."""
        self._in_flight[service] += 1

    def ended(self, service: str) -> None:
        """Count a task of a service that left its guard."""
        remaining = self._in_flight[service] - 1
        self._in_flight[service] = remaining
        if remaining <= 0:
            self._in_flight.pop(service)

    def rank(self, service: str) -> tuple[bool, float]:
        """Return whether a service borrows, and its use for its weight."""
        use = self._in_flight.get(service, 0)
        known = self._service(service)
        borrows = use >= known.quota_slots / self._entries
        return borrows, use / max(known.weight, _LEAST_WEIGHT)

    def share(
        self,
        service: str,
        waiting: Iterable[str],
        slots: int,
    ) -> float:
        """Return the quota plus the weighted part of unused slots.

        Services without work leave their slots to the others.
        """
        active = {service, *waiting, *self._in_flight}
        known = [self._service(name) for name in active]
        quotas = sum(one.quota_slots for one in known)
        weights = sum(max(one.weight, _LEAST_WEIGHT) for one in known)
        own = self._service(service)
        spare = max(0, slots - quotas)
        weighted = spare * max(own.weight, _LEAST_WEIGHT) / weights
        whole = max(slots, quotas, 1)
        return (own.quota_slots + weighted) / whole

    def _service(self, name: str) -> Service:
        known = self._services.get(name)
        return known or Service(name, 0, 1.0, _DEFAULT_DEADLINE_MS)


class NoShares:
    """Baseline: services are served in order of arrival."""

    def configure(self, configuration: Configuration, entries: int) -> None:
        """Use no quota."""

    def started(self, service: str) -> None:
        """Count nothing."""

    def ended(self, service: str) -> None:
        """Count nothing."""

    def rank(self, service: str) -> tuple[bool, float]:
        """Return the same key for all services."""
        return False, 0

    def share(
        self,
        service: str,
        waiting: Iterable[str],
        slots: int,
    ) -> float:
        """Return all slots."""
        return 1.0
