"""What an entry knows about a guard that it shares with other entries.

A load report travels on each answer, so it is as old as the last answer. The
entry knows its own tasks exactly; the share of the others is taken from the
last report and drifts back to its average as the report ages.
"""

from __future__ import annotations

import math

from borageward.clock import Milliseconds
from borageward.messages.guard import GuardLoad
from borageward.messages.task import RunClass

_AVERAGE_WEIGHT = 0.1
_LEAST_SPEED = 0.05


class GuardView:
    """Estimated load of one guard."""

    def __init__(
        self,
        place: str,
        service: str,
        load: GuardLoad,
        now_ms: Milliseconds,
    ) -> None:
        """Start from the load that the guard sent with its welcome."""
        self._place = place
        self._service = service
        self._load = load
        self._reported_ms = now_ms
        self._own = {RunClass.SHORT: 0, RunClass.LONG: 0}
        self._others = float(_reported_tasks(self._load))
        self._others_average = self._others
        self._held = 0

    @property
    def place(self) -> str:
        """Return the place of the worker."""
        return self._place

    @property
    def service(self) -> str:
        """Return the service that the runner announced."""
        return self._service

    @property
    def load(self) -> GuardLoad:
        """Return the last report."""
        return self._load

    @property
    def slots(self) -> int:
        """Return the number of slots."""
        return self._load.slots

    @property
    def speed(self) -> float:
        """Return the learnt speed of the runner; 1 is the average."""
        return max(_LEAST_SPEED, self._load.speed)

    @property
    def in_flight(self) -> int:
        """Return the number of own tasks queued or running at the guard."""
        return sum(self._own.values())

    def in_flight_of(self, run_class: RunClass) -> int:
        """Return the number of own tasks of a class at the guard."""
        return self._own[run_class]

    def report(self, load: GuardLoad, now_ms: Milliseconds) -> None:
        """Use a newer load report."""
        self._load = load
        self._reported_ms = now_ms
        self._others = max(0, _reported_tasks(self._load) - self.in_flight)
        change = self._others - self._others_average
        self._others_average += _AVERAGE_WEIGHT * change

    def sent(self, run_class: RunClass) -> None:
        """Count a task that is sent to the guard."""
        self._own[run_class] += 1

    def settled(self, run_class: RunClass) -> None:
        """Count a task that left the guard."""
        self._own[run_class] = max(0, self._own[run_class] - 1)

    def hold(self) -> None:
        """Count a task that waits at the entry for this guard."""
        self._held += 1

    def clear_held(self) -> None:
        """Forget the held tasks."""
        self._held = 0

    def has_room(
        self,
        now_ms: Milliseconds,
        decay_ms: Milliseconds,
        allowance: int,
    ) -> bool:
        """Tell whether fewer tasks than the allowance seem to be queued.

        Held tasks are not at the guard, so they take no room.
        """
        return self.tasks(now_ms, decay_ms) - self.slots < allowance

    def tasks(self, now_ms: Milliseconds, decay_ms: Milliseconds) -> float:
        """Return the estimated number of tasks queued or running."""
        age_ms = max(0, now_ms - self._reported_ms)
        weight = math.exp(-age_ms / decay_ms)
        drift = weight * (self._others - self._others_average)
        return self.in_flight + self._others_average + drift

    def excess(self, now_ms: Milliseconds, decay_ms: Milliseconds) -> float:
        """Return the estimated number of tasks without a slot of their own.

        It is negative when slots are free.
        """
        return self.tasks(now_ms, decay_ms) + self._held - self.slots


def _reported_tasks(load: GuardLoad) -> int:
    running = load.slots - load.free_slots
    return running + load.queued_short + load.queued_long
