"""Choice of the endpoint for a task.

Finishing a job before its goal has no extra value. A task is therefore placed
at any endpoint where it should meet its goal, which leaves the fast endpoints
to the tasks that need them. A task that only a fast endpoint can finish in
time waits for one as long as it has time to spare. It waits at the entry,
where a more urgent task can still go first and any endpoint that gets room can
be chosen.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence, Set as AbstractSet
from typing import Protocol

import attrs

from borageward.clock import Milliseconds
from borageward.messages.runs import Demand

# An endpoint that fails this share of its runs or more is chosen only when no
# other endpoint is allowed.
_MAX_FAILURE_SHARE = 0.35
# Factor on the run time of a task away from the rack of its data.
_REMOTE_DATA_FACTOR = 1.5
# Cost of the run time, for each multiple of the estimate.
_RUN_WEIGHT = 0.3
# Cost of the load, for a fully used endpoint.
_LOAD_WEIGHT = 0.15
# The same for a task under which an endpoint has crashed.
_SUSPECT_LOAD_WEIGHT = 1.5
# Cost of ending after the goal, for each multiple of the estimate.
_LATE_WEIGHT = 3.0
# Share of the time to the goal that the expected run time may use.
_BUDGET_SHARE = 0.95
# Time to start a run and to report its end.
_OVERHEAD_MS = 15.0
# Random part of the cost, which breaks ties.
_RANDOM_SPREAD = 0.05
# A task waits only if at least this share of the endpoints is fast enough.
_MIN_FAST_SHARE = 0.4
# A task waits for a faster endpoint only with at least this much time to spare.
_MIN_WAIT_SPARE_MS = 30.0
# A task whose time to spare is between these limits may wait at an endpoint
# instead of at its entry. The endpoint starts it before less urgent tasks of
# all entries, which would otherwise use the room that the task waits for.
_MAX_URGENT_SPARE_MS = 120.0
_MIN_URGENT_SPARE_MS = -40.0
# Demand that may wait at an endpoint, as a share of its capacity.
_QUEUE_SHARE = 0.3
# Mean time in which a full endpoint finishes as much as its whole capacity.
_MEAN_TURNOVER_MS = 250.0


@attrs.define(slots=True, eq=False)
class Candidate:
    """One endpoint as an entry sees it during one round of placement.

    ``room`` is the unused capacity, negative while runs wait there.
    ``slowness`` is the ratio of the run time to the caller's estimate, and
    ``failure_share`` the recent share of failed runs.
    """

    name: str
    labels: frozenset[str]
    capacity: Demand
    room: Demand
    slowness: float
    failure_share: float

    def reserve(self, demand: Demand) -> None:
        """Subtract the demand of a run placed here from the room."""
        self.room = self.room.minus(demand)

    @property
    def load(self) -> float:
        """Return the share of the CPU capacity in use."""
        return 1 - self.room.cpu_milli / max(1, self.capacity.cpu_milli)

    def has_room(self, demand: Demand) -> bool:
        """Return whether a run could start at once."""
        return demand.fits(self.room)

    def may_queue(self, demand: Demand, share: float) -> bool:
        """Return whether a run may wait here until other runs end.

        ``share`` limits the demand that waits, as a share of the capacity.
        """
        queue = int(share * self.capacity.cpu_milli)
        return demand.fits(self.room.plus(Demand(queue)))

    def wait_ms(self, demand: Demand) -> Milliseconds:
        """Return the expected wait of a run at this endpoint."""
        missing_milli = max(0, demand.cpu_milli - self.room.cpu_milli)
        return (
            _MEAN_TURNOVER_MS * missing_milli / max(1, self.capacity.cpu_milli)
        )


@attrs.frozen(slots=True)
class PlacementNeed:
    """Requirements of a task on its endpoint.

    ``budget_ms`` is the time from now until the goal of the job. With
    ``accepts_late`` the task does not wait for a faster endpoint when the best
    one with room would miss the goal. ``avoided`` names the endpoints where
    the task has failed; ``excluded`` those that may not run it.
    """

    demand: Demand
    estimate_ms: float
    budget_ms: float
    accepts_late: bool = False
    required_label: str = ''
    data_rack: str = ''
    avoided: AbstractSet[str] = frozenset()
    excluded: AbstractSet[str] = frozenset()
    is_suspect: bool = False

    @property
    def is_urgent(self) -> bool:
        """Return whether the time to spare is short, but not far below 0."""
        spare_ms = self.budget_ms - self.estimate_ms - _OVERHEAD_MS
        return _MIN_URGENT_SPARE_MS < spare_ms < _MAX_URGENT_SPARE_MS

    def allows(self, candidate: Candidate) -> bool:
        """Return whether an endpoint has the label and is not excluded."""
        if candidate.name in self.excluded:
            return False
        if not self.required_label:
            return True
        return self.required_label in candidate.labels


class RunPlacement(Protocol):
    """Chooses the endpoint for a task."""

    def choose(
        self,
        need: PlacementNeed,
        candidates: Sequence[Candidate],
    ) -> Candidate | None:
        """Return an endpoint, or ``None`` when the task should wait."""


class RandomPlacement:
    """Baseline that chooses any endpoint with room."""

    def __init__(self, source: random.Random) -> None:
        """Create a placement that draws from a source of random numbers."""
        self._random = source

    def choose(
        self,
        need: PlacementNeed,
        candidates: Sequence[Candidate],
    ) -> Candidate | None:
        """Return an endpoint, or ``None`` when the task should wait."""
        fitting = [
            item
            for item in candidates
            if need.allows(item) and item.has_room(need.demand)
        ]
        return self._random.choice(fitting) if fitting else None


class GoalPlacement:
    """Chooses the endpoint of least cost, with a high cost of lateness."""

    def __init__(
        self,
        source: random.Random,
        queue_share: float = _QUEUE_SHARE,
    ) -> None:
        """Create a placement that breaks ties at random.

        ``queue_share`` limits the demand of urgent tasks that wait at an
        endpoint, as a share of its capacity.
        """
        self._random = source
        self._queue_share = queue_share

    def choose(
        self,
        need: PlacementNeed,
        candidates: Sequence[Candidate],
    ) -> Candidate | None:
        """Return an endpoint, or ``None`` when the task should wait."""
        allowed = _without_failing(
            need,
            [item for item in candidates if need.allows(item)],
        )
        fitting = self._fitting(need, allowed)
        if not fitting:
            return None
        best = min(fitting, key=lambda item: self._cost(need, item))
        return None if _should_wait(need, best, allowed) else best

    def _fitting(
        self,
        need: PlacementNeed,
        allowed: Sequence[Candidate],
    ) -> list[Candidate]:
        """Return the endpoints with room.

        Without any, an urgent task gets those where it may wait.
        """
        fitting = [item for item in allowed if item.has_room(need.demand)]
        if fitting or not need.is_urgent:
            return fitting
        return [item for item in allowed if self._may_queue(need, item)]

    def _may_queue(self, need: PlacementNeed, candidate: Candidate) -> bool:
        """Return whether a task may wait at an endpoint and end in time."""
        if not candidate.may_queue(need.demand, self._queue_share):
            return False
        return not _late_ms(need, candidate)

    def _cost(self, need: PlacementNeed, candidate: Candidate) -> float:
        estimate_ms = max(1, need.estimate_ms)
        run_ms = _run_ms(need, candidate)
        cost = _RUN_WEIGHT * run_ms / estimate_ms
        cost += _LATE_WEIGHT * _late_ms(need, candidate) / estimate_ms
        weight = _SUSPECT_LOAD_WEIGHT if need.is_suspect else _LOAD_WEIGHT
        cost += weight * candidate.load
        return cost + self._random.uniform(0, _RANDOM_SPREAD)


def _run_ms(need: PlacementNeed, candidate: Candidate) -> float:
    run_ms = need.estimate_ms * candidate.slowness
    if need.data_rack and need.data_rack not in candidate.labels:
        run_ms *= _REMOTE_DATA_FACTOR
    return run_ms


def _late_ms(need: PlacementNeed, candidate: Candidate) -> float:
    """Return by how much a run would exceed its budget, at least 0."""
    run_ms = _run_ms(need, candidate) + candidate.wait_ms(need.demand)
    return max(0, run_ms + _OVERHEAD_MS - _BUDGET_SHARE * need.budget_ms)


def _should_wait(
    need: PlacementNeed,
    best: Candidate,
    allowed: Sequence[Candidate],
) -> bool:
    """Return whether a task should wait for a faster endpoint.

    It waits only if a good part of the endpoints is fast enough, because one
    of a few fast endpoints may not become free in time.
    """
    if need.accepts_late or not _late_ms(need, best):
        return False
    limit_ms = (
        _BUDGET_SHARE * need.budget_ms - _OVERHEAD_MS - _MIN_WAIT_SPARE_MS
    )
    fast = [item for item in allowed if _run_ms(need, item) <= limit_ms]
    return len(fast) >= _MIN_FAST_SHARE * len(allowed)


def _without_failing(
    need: PlacementNeed,
    candidates: Iterable[Candidate],
) -> list[Candidate]:
    """Return the endpoints that rarely fail and have not failed this task.

    If there are none, return those that have not failed this task, and if
    there are none of these either, all endpoints.
    """
    known = list(candidates)
    not_avoided = [item for item in known if item.name not in need.avoided]
    reliable = [
        item for item in not_avoided if item.failure_share < _MAX_FAILURE_SHARE
    ]
    return reliable or not_avoided or known
