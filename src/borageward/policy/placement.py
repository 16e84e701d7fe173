"""Placement of tasks at workers by their estimated load."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from typing import Protocol

import attrs

from borageward.clock import Milliseconds
from borageward.messages.task import RunClass
from borageward.policy.dispatch import WaitingTask
from borageward.policy.guard_view import GuardView

# The start and the result of a task, sent between different places.
_MESSAGES_PER_TASK = 2
_MIN_INTERVAL_MS = 0.01


@attrs.frozen(slots=True)
class PlacementContext:
    """Inputs shared by all placement decisions made at one time.

    ``short_ms`` is the mean run time of short tasks at speed 1,
    ``place_delay_ms`` the one-way delay between places. A guard with at least
    ``queue_limit_tasks`` tasks without a slot gets no more tasks.
    ``long_share`` is the share of the slots that long tasks may hold.
    """

    now_ms: Milliseconds
    own_place: str
    place_delay_ms: Milliseconds
    short_ms: Milliseconds
    queue_limit_tasks: int
    long_share: float


class Placement(Protocol):
    """Chooses the worker of a task, or leaves the task in the queue."""

    def choose(
        self,
        task: WaitingTask,
        guards: Mapping[str, GuardView],
        context: PlacementContext,
        waiting: int,
    ) -> str | None:
        """Return the name of a worker in ``guards``, or None to wait.

        ``waiting`` is the number of tasks, including this one, of the same run
        class in the lane of the task and in lanes without a suitable worker.
        """


class EarliestFinishPlacement:
    """Places a task where it is expected to finish first.

    A guard whose queue has reached its limit gets no task: tasks wait at the
    entry, so that they are bound to a worker as late as possible. A slower
    worker with room gets a task only if more tasks wait than the full, faster
    workers would finish before it does.
    """

    def __init__(self) -> None:
        """Create a placement with an empty cache of estimates."""
        self._cache = _EstimateCache()

    def choose(
        self,
        task: WaitingTask,
        guards: Mapping[str, GuardView],
        context: PlacementContext,
        waiting: int,
    ) -> str | None:
        """Return the worker with room that finishes first, or None to wait."""
        full: list[_Estimate] = []
        best: _Estimate | None = None
        self._cache.prepare(task, guards, context)
        for worker, view in guards.items():
            estimate = self._cache.estimate(worker, view, task)
            if not estimate.has_room:
                full.append(estimate)
            elif best is None or estimate.finish_ms < best.finish_ms:
                best = estimate
        if best is None:
            return None
        earlier = sum(one.tasks_finished_before(best.finish_ms) for one in full)
        return best.worker if waiting > earlier else None


class RandomPlacement:
    """Baseline for comparison: a random worker, whatever its load."""

    def __init__(self, source: random.Random) -> None:
        """Use ``source`` for the random choices."""
        self._source = source

    def choose(
        self,
        task: WaitingTask,
        guards: Mapping[str, GuardView],
        context: PlacementContext,
        waiting: int,
    ) -> str | None:
        """Return a random worker, or None if there is none."""
        return self._source.choice(list(guards)) if guards else None


class TwoChoicesPlacement:
    """Alternative for comparison: the less loaded of two random workers.

    A task is placed at once, even if both workers are full.
    """

    def __init__(self, source: random.Random) -> None:
        """Use ``source`` for the random choices."""
        self._source = source

    def choose(
        self,
        task: WaitingTask,
        guards: Mapping[str, GuardView],
        context: PlacementContext,
        waiting: int,
    ) -> str | None:
        """Return the less loaded of two workers, or None without workers."""
        names = list(guards)
        drawn = self._source.sample(names, min(2, len(names)))
        return _least_loaded(drawn, guards, context)


class IdlePushPlacement:
    """Alternative for comparison: a random worker with an idle slot.

    Without an idle slot, a worker whose queue is below its limit is chosen.
    """

    def __init__(self, source: random.Random) -> None:
        """Use ``source`` for the random choices."""
        self._source = source

    def choose(
        self,
        task: WaitingTask,
        guards: Mapping[str, GuardView],
        context: PlacementContext,
        waiting: int,
    ) -> str | None:
        """Return an idle worker, one with room in its queue, or None."""
        idle: list[str] = []
        room: list[str] = []
        for worker, view in guards.items():
            excess_tasks = view.excess_tasks(context.now_ms, context.short_ms)
            if excess_tasks < 0:
                idle.append(worker)
            if excess_tasks < context.queue_limit_tasks:
                room.append(worker)
        if idle:
            return self._source.choice(idle)
        return self._source.choice(room) if room else None


def _least_loaded(
    names: Sequence[str],
    guards: Mapping[str, GuardView],
    context: PlacementContext,
) -> str | None:
    return min(
        names,
        key=lambda name: guards[name].excess_tasks(
            context.now_ms,
            context.short_ms,
        ),
        default=None,
    )


@attrs.frozen(slots=True)
class _Estimate:
    """Expected time from now until a task finishes at a worker.

    Each further task is expected to finish ``interval_ms`` after the last one.
    ``in_flight`` is the state of the guard that the estimate holds for.
    """

    worker: str
    finish_ms: Milliseconds
    interval_ms: Milliseconds
    has_room: bool
    in_flight: int

    def tasks_finished_before(self, finish_ms: Milliseconds) -> int:
        """Return how many tasks would finish at the worker before a time."""
        if self.finish_ms >= finish_ms:
            return 0
        return 1 + int((finish_ms - self.finish_ms) / self.interval_ms)


def _estimate(
    worker: str,
    task: WaitingTask,
    view: GuardView,
    context: PlacementContext,
    excess_tasks: float,
) -> _Estimate:
    """Estimate the finish of a task from network delay, wait and run time.

    A long task also waits until long tasks hold fewer slots than they may.
    """
    speed = view.speed
    run_ms = task.expected_ms / speed
    network_ms: Milliseconds = 0
    if view.place != context.own_place:
        network_ms = _MESSAGES_PER_TASK * context.place_delay_ms
    long_tasks = view.long_tasks
    interval_ms = context.short_ms / speed / max(1, view.slots - long_tasks)
    wait_ms = max(0, excess_tasks + 1) * interval_ms
    if task.run_class is RunClass.LONG:
        long_slots = view.long_slots(context.long_share)
        interval_ms = run_ms / long_slots
        wait_ms += max(0, long_tasks + 1 - long_slots) * interval_ms
    finish_ms = network_ms + wait_ms + run_ms
    return _Estimate(
        worker,
        finish_ms,
        max(interval_ms, _MIN_INTERVAL_MS),
        _has_room(task, view, context, excess_tasks),
        view.in_flight,
    )


class _EstimateCache:
    """Estimates for tasks of the same run class and expected run time.

    Among placements with the same context only the placed tasks change the
    load of a guard, so an estimate is valid until its guard gets another task.
    """

    def __init__(self) -> None:
        self._context: PlacementContext | None = None
        self._guards: Mapping[str, GuardView] | None = None
        self._task_profile: tuple[RunClass, Milliseconds] | None = None
        self._estimates: dict[str, _Estimate] = {}

    def prepare(
        self,
        task: WaitingTask,
        guards: Mapping[str, GuardView],
        context: PlacementContext,
    ) -> None:
        """Clear the cache if the context, guards or kind of task changed.

        Context and guards are compared by identity.
        """
        profile = (task.run_class, task.expected_ms)
        same = self._context is context and self._guards is guards
        if same and self._task_profile == profile:
            return
        self._context = context
        self._guards = guards
        self._task_profile = profile
        self._estimates.clear()

    def estimate(
        self,
        worker: str,
        view: GuardView,
        task: WaitingTask,
    ) -> _Estimate:
        """Return the cached estimate, or a new one if the guard got a task."""
        known = self._estimates.get(worker)
        if known is not None and known.in_flight == view.in_flight:
            return known
        assert self._context is not None
        context = self._context
        excess_tasks = view.excess_tasks(context.now_ms, context.short_ms)
        fresh = _estimate(worker, task, view, context, excess_tasks)
        self._estimates[worker] = fresh
        return fresh


def _has_room(
    task: WaitingTask,
    view: GuardView,
    context: PlacementContext,
    excess_tasks: float,
) -> bool:
    """Return whether a guard may get a task now.

    Long tasks are not queued at a guard: they would wait there for long, bound
    to a worker even if another one became free.
    """
    if task.run_class is RunClass.LONG:
        if view.long_tasks >= view.long_slots(context.long_share):
            return False
    return excess_tasks < context.queue_limit_tasks
