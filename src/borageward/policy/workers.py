"""The workers that an entry is linked to and what each may take."""

from __future__ import annotations

from collections.abc import Iterable

from borageward.clock import Milliseconds
from borageward.configuration import Configuration
from borageward.configuration.policy import ANY_KIND
from borageward.messages.guard import GuardLoad
from borageward.policy.guard_view import GuardView


class Workers:
    """Views of the linked guards, and the policies that restrict them."""

    def __init__(self, configuration: Configuration) -> None:
        """Start without a worker."""
        self._configuration = configuration
        self._views: dict[str, GuardView] = {}
        self._allowed: dict[tuple[str, str], tuple[str, ...]] = {}
        self._mean_speed: float | None = None

    @property
    def views(self) -> dict[str, GuardView]:
        """Return the views by worker."""
        return self._views

    def configure(self, configuration: Configuration) -> None:
        """Use new policies."""
        self._configuration = configuration
        self._allowed.clear()

    def add(
        self,
        worker: str,
        place: str,
        service: str,
        load: GuardLoad,
        now_ms: Milliseconds,
    ) -> None:
        """Add or replace a worker."""
        self._views[worker] = GuardView(place, service, load, now_ms)
        self._allowed.clear()
        self.speeds_changed()

    def remove(self, worker: str) -> None:
        """Forget a worker."""
        self._views.pop(worker, None)
        self._allowed.clear()
        self.speeds_changed()

    def eligible(self, service: str, kind: str) -> dict[str, GuardView]:
        """Return the workers that may take a kind and are not leaving."""
        names = self._allowed.get((service, kind))
        if names is None:
            names = tuple(self._permitted(service, kind))
            self._allowed[(service, kind)] = names
        return {
            name: self._views[name]
            for name in names
            if not self._views[name].load.leaving
        }

    def speeds_changed(self) -> None:
        """Compute the mean speed anew when it is asked for."""
        self._mean_speed = None

    def mean_speed(self) -> float:
        """Return the mean speed of the linked runners."""
        if self._mean_speed is None:
            views = self._views.values()
            total = sum(view.speed for view in views)
            self._mean_speed = total / len(views) if views else 1.0
        return self._mean_speed

    def _permitted(self, service: str, kind: str) -> Iterable[str]:
        """Yield the permitted workers.

        A runner serves the service that it announced. A policy that names a
        worker opens that worker to another service.
        """
        policy = self._configuration.policy_for(service, kind)
        for name, view in self._views.items():
            if policy and not policy.allows(name, view.place):
                continue
            named = policy is not None and name in policy.workers
            if named or view.service in {service, ANY_KIND, ''}:
                yield name
