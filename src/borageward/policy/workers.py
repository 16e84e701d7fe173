"""Workers that an entry is linked to, and the tasks that each may run."""

from __future__ import annotations

from collections.abc import Iterable

from borageward.clock import Milliseconds
from borageward.configuration import Configuration
from borageward.configuration.policy import ANY_KIND
from borageward.messages.guard import GuardLoad
from borageward.policy.guard_view import GuardView


class Workers:
    """Load estimates of the linked guards and the policies for workers."""

    def __init__(self, configuration: Configuration) -> None:
        """Create a registry without workers."""
        self._configuration = configuration
        self._views: dict[str, GuardView] = {}
        self._allowed: dict[tuple[str, str], tuple[str, ...]] = {}
        self._mean_speed: float | None = None

    @property
    def views(self) -> dict[str, GuardView]:
        """Return the load estimates by the name of the worker."""
        return self._views

    def configure(self, configuration: Configuration) -> None:
        """Apply the policies of a new configuration."""
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
        """Add a worker, or replace it and its load estimate."""
        self._views[worker] = GuardView(place, service, load, now_ms)
        self._allowed.clear()
        self.invalidate_mean_speed()

    def remove(self, worker: str) -> None:
        """Remove a worker; unknown workers are ignored."""
        self._views.pop(worker, None)
        self._allowed.clear()
        self.invalidate_mean_speed()

    def eligible(self, service: str, kind: str) -> dict[str, GuardView]:
        """Return the workers that may run a kind of task, except leaving ones.

        The permitted names are cached until workers or policies change.
        """
        names = self._allowed.get((service, kind))
        if names is None:
            names = tuple(self._permitted(service, kind))
            self._allowed[(service, kind)] = names
        return {
            name: self._views[name]
            for name in names
            if not self._views[name].load.leaving
        }

    def invalidate_mean_speed(self) -> None:
        """Discard the cached mean speed."""
        self._mean_speed = None

    def mean_speed(self) -> float:
        """Return the mean speed of the linked runners; 1 without any."""
        if self._mean_speed is None:
            views = self._views.values()
            total = sum(view.speed for view in views)
            self._mean_speed = total / len(views) if views else 1.0
        return self._mean_speed

    def _permitted(self, service: str, kind: str) -> Iterable[str]:
        """Yield the names of the workers that may run a kind of task.

        A runner serves the service that it announced, or all services if it
        announced ``*`` or none. A policy that names a worker opens it to the
        service of the policy.
        """
        policy = self._configuration.policy_for(service, kind)
        for name, view in self._views.items():
            if policy and not policy.allows(name, view.place):
                continue
            named = policy is not None and name in policy.workers
            if named or view.service in {service, ANY_KIND, ''}:
                yield name
