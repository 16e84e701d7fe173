"""Shares of the runner slots for each service, with borrowing.

A service that uses less than its quota is served first, so it gets borrowed
slots back as soon as tasks of the other services end. Slots beyond the quotas
are shared by weight.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import Protocol

from borageward.configuration import Configuration, Service

_DEFAULT_DEADLINE_MS = 5000
_MIN_WEIGHT = 0.001


class ServiceShares(Protocol):
    """Ranks services and computes their shares of the capacity."""

    def configure(self, configuration: Configuration, entries: int) -> None:
        """Apply new quotas, divided by the number of live entries."""

    def task_started(self, service: str) -> None:
        """Count a task of a service that was sent to a guard."""

    def task_ended(self, service: str) -> None:
        """Stop counting a task of a service that left its guard."""

    def rank(self, service: str) -> tuple[bool, float]:
        """Return a sort key; the service with the smallest is served first."""

    def share(
        self,
        service: str,
        waiting: Iterable[str],
        slots: int,
    ) -> float:
        """Return the share of all slots, 0 to 1, that a service can expect.

        ``waiting`` names the services with waiting tasks, ``slots`` is the
        number of slots of all eligible workers.
        """


class FairShares:
    """Serves services below their quota first, then the others by weight."""

    def __init__(self, configuration: Configuration) -> None:
        """Create shares for one entry, without tasks in flight."""
        self._services = configuration.services
        self._entries = 1
        self._in_flight: defaultdict[str, int] = defaultdict(int)

    def configure(self, configuration: Configuration, entries: int) -> None:
        """Apply new quotas, divided by the number of live entries."""
        self._services = configuration.services
        self._entries = max(1, entries)

    def task_started(self, service: str) -> None:
        """Count a task of a service that was sent to a guard."""
        self._in_flight[service] += 1

    def task_ended(self, service: str) -> None:
        """Stop counting a task of a service that left its guard."""
        remaining = self._in_flight[service] - 1
        self._in_flight[service] = remaining
        if remaining <= 0:
            self._in_flight.pop(service)

    def rank(self, service: str) -> tuple[bool, float]:
        """Return whether a service borrows, and its tasks per weight."""
        in_flight = self._in_flight.get(service, 0)
        known = self._service(service)
        borrows = in_flight >= known.quota_slots / self._entries
        return borrows, in_flight / max(known.weight, _MIN_WEIGHT)

    def share(
        self,
        service: str,
        waiting: Iterable[str],
        slots: int,
    ) -> float:
        """Return the quota plus the weighted share of slots beyond quotas.

        Services without waiting or running tasks get no part of the slots.
        """
        active = {service, *waiting, *self._in_flight}
        active_services = [self._service(name) for name in active]
        quotas = sum(one.quota_slots for one in active_services)
        weights = sum(max(one.weight, _MIN_WEIGHT) for one in active_services)
        own = self._service(service)
        spare = max(0, slots - quotas)
        weighted = spare * max(own.weight, _MIN_WEIGHT) / weights
        total_slots = max(slots, quotas, 1)
        return (own.quota_slots + weighted) / total_slots

    def _service(self, name: str) -> Service:
        known = self._services.get(name)
        return known or Service(name, 0, 1.0, _DEFAULT_DEADLINE_MS)


class NoShares:
    """Baseline without shares: services are served in order of arrival."""

    def configure(self, configuration: Configuration, entries: int) -> None:
        """Ignore the quotas."""

    def task_started(self, service: str) -> None:
        """Ignore the start of a task."""

    def task_ended(self, service: str) -> None:
        """Ignore the end of a task."""

    def rank(self, service: str) -> tuple[bool, float]:
        """Return the same sort key for all services."""
        return False, 0

    def share(
        self,
        service: str,
        waiting: Iterable[str],
        slots: int,
    ) -> float:
        """Return 1: each service can use all slots."""
        return 1.0
