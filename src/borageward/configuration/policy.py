"""Services and the policies that restrict where their work may run."""

from __future__ import annotations

import attrs

# The kind of a policy that applies to all kinds without a policy of their own.
ANY_KIND = '*'


@attrs.frozen(slots=True)
class Service:
    """A customer of the dispatcher.

    ``quota_slots`` is the number of runner slots reserved for it. Slots that
    others leave unused are shared in proportion to ``weight``. ``deadline_ms``
    is the deadline of its jobs that state none.
    """

    name: str
    quota_slots: int
    weight: float
    deadline_ms: int


@attrs.frozen(slots=True)
class Policy:
    """Places and workers that may run work of a service and kind.

    An empty list allows all. ``excluded_workers`` are never allowed;
    ``Configuration.policy_for`` sets them, operators do not.
    """

    service: str
    kind: str
    places: tuple[str, ...] = ()
    workers: tuple[str, ...] = ()
    excluded_workers: tuple[str, ...] = ()

    def allows(self, worker: str, place: str) -> bool:
        """Return whether a worker in a place may run the work."""
        if worker in self.excluded_workers:
            return False
        place_allowed = not self.places or place in self.places
        worker_allowed = not self.workers or worker in self.workers
        return place_allowed and worker_allowed
