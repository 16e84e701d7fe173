"""Services and the policies that say where their work may run."""

from __future__ import annotations

import attrs

ANY_KIND = '*'


@attrs.frozen(slots=True)
class Service:
    """A customer of the dispatcher.

    ``quota_slots`` is the number of runner slots of its own, ``weight`` its
    share of unused slots, ``deadline_ms`` its default deadline.
    """

    name: str
    quota_slots: int
    weight: float
    deadline_ms: int


@attrs.frozen(slots=True)
class Policy:
    """Where work of a service and kind may run; empty lists allow all.

    ``excluded_workers`` are never allowed; they are set in the policies that
    ``Configuration.policy_for`` returns, not in those that operators state.
    """

    service: str
    kind: str
    places: tuple[str, ...] = ()
    workers: tuple[str, ...] = ()
    excluded_workers: tuple[str, ...] = ()

    def allows(self, worker: str, place: str) -> bool:
        """Tell whether a worker in a place may take the work."""
        if worker in self.excluded_workers:
            return False
        place_allowed = not self.places or place in self.places
        worker_allowed = not self.workers or worker in self.workers
        return place_allowed and worker_allowed
