"""Choice of the endpoint for a task.

A job counts when it meets its goal, however early. So a task goes where it
should end within its goal, which leaves the fast endpoints to those that need
them; a task that only a fast endpoint can end in time waits for one while it
still has the time. It waits at the entry, where a more urgent task can still go
first and any endpoint that gets room can be chosen.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence, Set as AbstractSet
from typing import Protocol

import attrs

from borageward.clock import Milliseconds
from borageward.messages.runs import Demand

# An endpoint that fails this share of its runs gets work only by probes.
_FAILING_SHARE = 0.35
_REMOTE_FACTOR = 1.5
# Among endpoints that meet the goal, the cost of a longer run and of load.
_RUN_WEIGHT = 0.3
_LOAD_WEIGHT = 0.15
# Cost of ending after the goal, for each multiple of the estimate.
_LATE_WEIGHT = 3.0
# Share of the time to the goal that a run may be expected to take.
_BUDGET_SHARE = 0.95
# Starting and noticing the end take about this long.
_OVERHEAD_MS = 15.0
_RANDOM_SPREAD = 0.05
# A task waits only while this share of the endpoints is fast enough for it.
_FAST_SHARE = 0.4
# A task waits for a faster endpoint while it has this much time to spare.
_SPARE_MS = 30.0
# A task with less time to spare than this, and not much too late yet, may wait
# at an endpoint instead of at its entry. There it goes ahead of the less urgent
# tasks of all entries, which would take the room that this entry waits for.
_URGENT_SPARE_MS = 120.0
_LATE_SPARE_MS = -40.0
# Share of an endpoint's capacity that may wait there.
_QUEUE_SHARE = 0.3
# Time in which the runs of a full endpoint end, on average.
_TURNOVER_MS = 250.0


@attrs.define(slots=True, eq=False)
class Candidate:
    """One endpoint as an entry sees it during a round.

    ``slowness`` is the run time over the caller's estimate.
    """

    name: str
    labels: frozenset[str]
    capacity: Demand
    room: Demand
    slowness: float
    failing: float

    def reserve(self, demand: Demand) -> None:
        """Count a run that was placed here."""
        self.room = self.room.minus(demand)

    @property
    def load(self) -> float:
        """Return the share of the capacity that is taken."""
        return 1 - self.room.cpu_milli / max(1, self.capacity.cpu_milli)

    def has_room(self, demand: Demand) -> bool:
        """Tell whether a run could start at once."""
        return demand.fits(self.room)

    def may_queue(self, demand: Demand, share: float) -> bool:
        """Tell whether a run may wait here, beyond the room, for others.

        ``share`` is the part of the capacity that may wait.
        """
        queue = int(share * self.capacity.cpu_milli)
        return demand.fits(self.room.plus(Demand(queue)))

    def wait_ms(self, demand: Demand) -> Milliseconds:
        """Return how long a run would probably wait here."""
        lacking = max(0, demand.cpu_milli - self.room.cpu_milli)
        return _TURNOVER_MS * lacking / max(1, self.capacity.cpu_milli)


@attrs.frozen(slots=True)
class PlacementNeed:
    """What a task needs of its endpoint.

    ``budget_ms`` is the time until the goal of its job, counted from now.
    ``accepts_late`` allows an endpoint that misses the goal although a faster
    one might still meet it. ``avoided`` names the endpoints where the task has
    failed, ``excluded`` those that may not run it.
    """

    demand: Demand
    estimate_ms: float
    budget_ms: float
    accepts_late: bool = False
    required_label: str = ''
    data_rack: str = ''
    avoided: AbstractSet[str] = frozenset()
    excluded: AbstractSet[str] = frozenset()

    @property
    def is_urgent(self) -> bool:
        """Tell whether the goal is at stake but not yet out of reach."""
        spare_ms = self.budget_ms - self.estimate_ms - _OVERHEAD_MS
        return _LATE_SPARE_MS < spare_ms < _URGENT_SPARE_MS

    def allows(self, candidate: Candidate) -> bool:
        """Tell whether an endpoint may run the task at all."""
        if candidate.name in self.excluded:
            return False
        if not self.required_label:
            return True
        return self.required_label in candidate.labels


class RunPlacement(Protocol):
    """Chooses one of several endpoints with room."""

    def choose(
        self,
        need: PlacementNeed,
        candidates: Sequence[Candidate],
    ) -> Candidate | None:
        """Return an endpoint, or nothing when the task should wait."""


class RandomPlacement:
    """Baseline: any endpoint with room."""

    def __init__(self, source: random.Random) -> None:
        """Choose by a source of random numbers."""
        self._random = source

    def choose(
        self,
        need: PlacementNeed,
        candidates: Sequence[Candidate],
    ) -> Candidate | None:
        """Return an endpoint, or nothing when the task should wait."""
        fitting = [
            item
            for item in candidates
            if need.allows(item) and item.has_room(need.demand)
        ]
        return self._random.choice(fitting) if fitting else None


class GoalPlacement:
    """The endpoint that meets the goal at the least cost."""

    def __init__(
        self,
        source: random.Random,
        queue_share: float = _QUEUE_SHARE,
    ) -> None:
        """Break ties by a source of random numbers.

        ``queue_share`` is the part of an endpoint's capacity that urgent tasks
        may wait for there.
        """
        self._random = source
        self._queue_share = queue_share

    def choose(
        self,
        need: PlacementNeed,
        candidates: Sequence[Candidate],
    ) -> Candidate | None:
        """Return an endpoint, or nothing when the task should wait."""
        allowed = _sound(
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
        """Return the endpoints with room, or those where the task may wait."""
        fitting = [item for item in allowed if item.has_room(need.demand)]
        if fitting or not need.is_urgent:
            return fitting
        return [item for item in allowed if self._may_queue(need, item)]

    def _may_queue(self, need: PlacementNeed, candidate: Candidate) -> bool:
        """Tell whether a task may wait at an endpoint and still be in time."""
        if not candidate.may_queue(need.demand, self._queue_share):
            return False
        return not _late_ms(need, candidate)

    def _cost(self, need: PlacementNeed, candidate: Candidate) -> float:
        estimate_ms = max(1, need.estimate_ms)
        run_ms = _run_ms(need, candidate)
        cost = _RUN_WEIGHT * run_ms / estimate_ms
        cost += _LATE_WEIGHT * _late_ms(need, candidate) / estimate_ms
        cost += _LOAD_WEIGHT * candidate.load
        return cost + self._random.uniform(0, _RANDOM_SPREAD)


def _run_ms(need: PlacementNeed, candidate: Candidate) -> float:
    run_ms = need.estimate_ms * candidate.slowness
    if need.data_rack and need.data_rack not in candidate.labels:
        run_ms *= _REMOTE_FACTOR
    return run_ms


def _late_ms(need: PlacementNeed, candidate: Candidate) -> float:
    """Return how much later than its budget a run here would end."""
    run_ms = _run_ms(need, candidate) + candidate.wait_ms(need.demand)
    return max(0, run_ms + _OVERHEAD_MS - _BUDGET_SHARE * need.budget_ms)


def _should_wait(
    need: PlacementNeed,
    best: Candidate,
    allowed: Sequence[Candidate],
) -> bool:
    """Tell whether other endpoints will probably meet the goal.

    One of a few fast endpoints may not become free in time, so a good part of
    the endpoints has to be fast enough.
    """
    if need.accepts_late or not _late_ms(need, best):
        return False
    limit_ms = _BUDGET_SHARE * need.budget_ms - _OVERHEAD_MS - _SPARE_MS
    fast = [item for item in allowed if _run_ms(need, item) <= limit_ms]
    return len(fast) >= _FAST_SHARE * len(allowed)


def _sound(
    need: PlacementNeed,
    candidates: Iterable[Candidate],
) -> list[Candidate]:
    """Return the endpoints that neither fail nor failed this task.

    When there is no such endpoint, all of them are better than none.
    """
    known = list(candidates)
    fresh = [item for item in known if item.name not in need.avoided]
    sound = [item for item in fresh if item.failing < _FAILING_SHARE]
    return sound or fresh or known
