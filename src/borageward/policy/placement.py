"""Which worker a task is placed at, by the load that an entry can see."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from typing import Protocol

import attrs

from borageward.clock import Milliseconds
from borageward.messages.task import RunClass
from borageward.policy.dispatch import WaitingTask
from borageward.policy.guard_view import GuardView

# Two messages cross between places for each task.
_CROSSINGS = 2


@attrs.frozen(slots=True)
class PlacementScene:
    """What a placement decision may look at.

    ``short_ms`` and ``long_ms`` are the mean run times of the classes at
    speed 1; ``place_delay_ms`` is the one-way delay between places.
    """

    now_ms: Milliseconds
    own_place: str
    place_delay_ms: Milliseconds
    short_ms: Milliseconds
    long_ms: Milliseconds
    allowance_tasks: int
    long_share: float


class Placement(Protocol):
    """Chooses a worker for a task, or none while the task should wait."""

    # Whether a task waits at the entry until its worker has room.
    binds_late: bool

    def choose(
        self,
        task: WaitingTask,
        guards: Mapping[str, GuardView],
        scene: PlacementScene,
    ) -> str | None:
        """Return the name of a worker among the guards, or nothing."""


class EarliestFinishPlacement:
    """Place where the task is expected to finish first.

    The caller keeps the task while the queue at that worker exceeds the
    allowance, so that it is bound as late as possible.
    """

    binds_late = True

    def choose(
        self,
        task: WaitingTask,
        guards: Mapping[str, GuardView],
        scene: PlacementScene,
    ) -> str | None:
        """Return the worker with the earliest expected finish."""
        best = None
        best_ms = float('inf')
        for worker, view in guards.items():
            finish_ms = self._finish_ms(task, view, scene)
            if finish_ms < best_ms:
                best, best_ms = worker, finish_ms
        return best

    def _finish_ms(
        self,
        task: WaitingTask,
        view: GuardView,
        scene: PlacementScene,
    ) -> Milliseconds:
        travel_ms: Milliseconds = 0
        if view.place != scene.own_place:
            travel_ms = _CROSSINGS * scene.place_delay_ms
        wait_ms = _wait_ms(task, view, scene)
        return travel_ms + wait_ms + task.expected_ms / view.speed


class RandomPlacement:
    """Baseline: a random worker, whatever its load."""

    binds_late = False

    def __init__(self, source: random.Random) -> None:
        """Take choices from a seeded source."""
        self._source = source

    def choose(
        self,
        task: WaitingTask,
        guards: Mapping[str, GuardView],
        scene: PlacementScene,
    ) -> str | None:
        """Return any worker."""
        return self._source.choice(list(guards)) if guards else None


class TwoChoicesPlacement:
    """Alternative: the less loaded of two random workers, pushed at once."""

    binds_late = False

    def __init__(self, source: random.Random) -> None:
        """Take choices from a seeded source."""
        self._source = source

    def choose(
        self,
        task: WaitingTask,
        guards: Mapping[str, GuardView],
        scene: PlacementScene,
    ) -> str | None:
        """Return the less loaded of two workers."""
        names = list(guards)
        drawn = self._source.sample(names, min(2, len(names)))
        return _least_loaded(drawn, guards, scene)


class IdlePushPlacement:
    """Alternative: any worker with an idle slot, else a small queue."""

    binds_late = False

    def __init__(self, source: random.Random) -> None:
        """Take choices from a seeded source."""
        self._source = source

    def choose(
        self,
        task: WaitingTask,
        guards: Mapping[str, GuardView],
        scene: PlacementScene,
    ) -> str | None:
        """Return an idle worker, or one within the queue allowance."""
        idle: list[str] = []
        room: list[str] = []
        for worker, view in guards.items():
            excess = view.excess(scene.now_ms, scene.short_ms)
            if excess < 0:
                idle.append(worker)
            if excess < scene.allowance_tasks:
                room.append(worker)
        if idle:
            return self._source.choice(idle)
        return self._source.choice(room) if room else None


def _least_loaded(
    names: Sequence[str],
    guards: Mapping[str, GuardView],
    scene: PlacementScene,
) -> str | None:
    return min(
        names,
        key=lambda name: guards[name].excess(scene.now_ms, scene.short_ms),
        default=None,
    )


def _wait_ms(
    task: WaitingTask,
    view: GuardView,
    scene: PlacementScene,
) -> Milliseconds:
    """Return the expected wait for a slot that the class may use."""
    excess = view.excess(scene.now_ms, scene.short_ms)
    slot_ms = scene.short_ms / view.speed / max(1, view.slots)
    wait_ms = max(0, excess + 1) * slot_ms
    if task.run_class is RunClass.SHORT:
        return wait_ms
    long_slots = max(1, int(view.slots * scene.long_share))
    long_tasks = max(
        view.in_flight_of(RunClass.LONG),
        view.load.queued_long and view.load.queued_long + long_slots,
    )
    long_excess = max(0, long_tasks + 1 - long_slots)
    return wait_ms + long_excess * scene.long_ms / view.speed / long_slots
