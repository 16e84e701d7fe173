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
_LEAST_STEP_MS = 0.01


@attrs.frozen(slots=True)
class PlacementScene:
    """What a placement decision may look at.

    ``short_ms`` is the mean run time of short work at speed 1,
    ``place_delay_ms`` the one-way delay between places.
    """

    now_ms: Milliseconds
    own_place: str
    place_delay_ms: Milliseconds
    short_ms: Milliseconds
    allowance_tasks: int
    long_share: float


class Placement(Protocol):
    """Chooses a worker for a task, or none while the task should wait."""

    def choose(
        self,
        task: WaitingTask,
        guards: Mapping[str, GuardView],
        scene: PlacementScene,
        waiting: int,
    ) -> str | None:
        """Return the name of a worker among the guards, or nothing.

        ``waiting`` counts the tasks that wait for the same kind of slot, this
        one included.
        """


class EarliestFinishPlacement:
    """Place where the task is expected to finish first.

    Work stays at the entry while the queue of a guard exceeds the allowance,
    so that it is bound as late as possible. A worker with room that is slower
    gets a task only when more tasks wait than the faster ones would finish
    earlier.
    """

    def __init__(self) -> None:
        """Start without estimates."""
        self._round = _Round()

    def choose(
        self,
        task: WaitingTask,
        guards: Mapping[str, GuardView],
        scene: PlacementScene,
        waiting: int,
    ) -> str | None:
        """Return the worker with room and the earliest expected finish."""
        full: list[_Estimate] = []
        best: _Estimate | None = None
        self._round.enter(task, guards, scene)
        for worker, view in guards.items():
            estimate = self._round.estimate(worker, view, task)
            if not estimate.has_room:
                full.append(estimate)
            elif best is None or estimate.finish_ms < best.finish_ms:
                best = estimate
        if best is None:
            return None
        earlier = sum(one.tasks_before(best.finish_ms) for one in full)
        return best.worker if waiting > earlier else None


class RandomPlacement:
    """Baseline: a random worker, whatever its load."""

    def __init__(self, source: random.Random) -> None:
        """Take choices from a seeded source."""
        self._source = source

    def choose(
        self,
        task: WaitingTask,
        guards: Mapping[str, GuardView],
        scene: PlacementScene,
        waiting: int,
    ) -> str | None:
        """Return any worker."""
        return self._source.choice(list(guards)) if guards else None


class TwoChoicesPlacement:
    """Alternative: the less loaded of two random workers, pushed at once."""

    def __init__(self, source: random.Random) -> None:
        """Take choices from a seeded source."""
        self._source = source

    def choose(
        self,
        task: WaitingTask,
        guards: Mapping[str, GuardView],
        scene: PlacementScene,
        waiting: int,
    ) -> str | None:
        """Return the less loaded of two workers."""
        names = list(guards)
        drawn = self._source.sample(names, min(2, len(names)))
        return _least_loaded(drawn, guards, scene)


class IdlePushPlacement:
    """Alternative: any worker with an idle slot, else a small queue."""

    def __init__(self, source: random.Random) -> None:
        """Take choices from a seeded source."""
        self._source = source

    def choose(
        self,
        task: WaitingTask,
        guards: Mapping[str, GuardView],
        scene: PlacementScene,
        waiting: int,
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


@attrs.frozen(slots=True)
class _Estimate:
    """Expected finish of one task at a worker, and of each one after it."""

    worker: str
    finish_ms: Milliseconds
    step_ms: Milliseconds
    has_room: bool
    in_flight: int

    def tasks_before(self, finish_ms: Milliseconds) -> int:
        """Return how many tasks would finish here before a time."""
        if self.finish_ms >= finish_ms:
            return 0
        return 1 + int((finish_ms - self.finish_ms) / self.step_ms)


def _estimate(
    worker: str,
    task: WaitingTask,
    view: GuardView,
    scene: PlacementScene,
    excess: float,
) -> _Estimate:
    """Return the expected finish, with the wait for a slot of the class."""
    speed = view.speed
    run_ms = task.expected_ms / speed
    travel_ms: Milliseconds = 0
    if view.place != scene.own_place:
        travel_ms = _CROSSINGS * scene.place_delay_ms
    long_tasks = view.long_tasks
    step_ms = scene.short_ms / speed / max(1, view.slots - long_tasks)
    wait_ms = max(0, excess + 1) * step_ms
    if task.run_class is RunClass.LONG:
        long_slots = view.long_slots(scene.long_share)
        step_ms = run_ms / long_slots
        wait_ms += max(0, long_tasks + 1 - long_slots) * step_ms
    finish_ms = travel_ms + wait_ms + run_ms
    return _Estimate(
        worker,
        finish_ms,
        max(step_ms, _LEAST_STEP_MS),
        _has_room(task, view, scene, excess),
        view.in_flight,
    )


class _Round:
    """Estimates for like tasks that are placed at one time.

    Within a round only the placed tasks change the load of a guard, so an
    estimate holds until its guard gets another task.
    """

    def __init__(self) -> None:
        self._scene: PlacementScene | None = None
        self._guards: Mapping[str, GuardView] | None = None
        self._need: tuple[RunClass, Milliseconds] | None = None
        self._estimates: dict[str, _Estimate] = {}

    def enter(
        self,
        task: WaitingTask,
        guards: Mapping[str, GuardView],
        scene: PlacementScene,
    ) -> None:
        """Drop the estimates of another round; each has its own scene."""
        need = (task.run_class, task.expected_ms)
        same = self._scene is scene and self._guards is guards
        if same and self._need == need:
            return
        self._scene = scene
        self._guards = guards
        self._need = need
        self._estimates.clear()

    def estimate(
        self,
        worker: str,
        view: GuardView,
        task: WaitingTask,
    ) -> _Estimate:
        """Return the estimate of one guard, computed when it changed."""
        known = self._estimates.get(worker)
        if known is not None and known.in_flight == view.in_flight:
            return known
        assert self._scene is not None
        scene = self._scene
        excess = view.excess(scene.now_ms, scene.short_ms)
        fresh = _estimate(worker, task, view, scene, excess)
        self._estimates[worker] = fresh
        return fresh


def _has_room(
    task: WaitingTask,
    view: GuardView,
    scene: PlacementScene,
    excess: float,
) -> bool:
    """Tell whether a guard should get a task now.

    Long work is not queued at a guard: it would be bound to it for long.
    """
    if task.run_class is RunClass.LONG:
        if view.long_tasks >= view.long_slots(scene.long_share):
            return False
    return excess < scene.allowance_tasks
