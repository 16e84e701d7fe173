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
        self._in_flight = 0
        self._others = float(_reported_tasks(self._load))
        self._others_average = self._others
        self._others_long = 0
        # The drift is the same for all tasks that are placed at one time.
        self._drift: float = 0
        self._drift_ms = float('nan')
        self._count_others()

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
        return self._in_flight

    @property
    def long_tasks(self) -> int:
        """Return the number of long tasks queued or running."""
        return self._others_long + self._own[RunClass.LONG]

    @property
    def others_average(self) -> float:
        """Return the usual number of tasks of other entries."""
        return self._others_average

    def in_flight_of(self, run_class: RunClass) -> int:
        """Return the number of own tasks of a class at the guard."""
        return self._own[run_class]

    def report(self, load: GuardLoad, now_ms: Milliseconds) -> None:
        """Use a newer load report."""
        self._load = load
        self._reported_ms = now_ms
        self._count_others()
        change = self._others - self._others_average
        self._others_average += _AVERAGE_WEIGHT * change
        self._drift_ms = float('nan')

    def long_slots(self, long_share: float) -> int:
        """Return the number of slots that long work may hold."""
        return max(1, int(self.slots * long_share))

    def sent(self, run_class: RunClass) -> None:
        """Count a task that is sent to the guard."""
        self._own[run_class] += 1
        self._in_flight += 1

    def settled(self, run_class: RunClass) -> None:
        """Count a task that left the guard."""
        if self._own[run_class]:
            self._own[run_class] -= 1
            self._in_flight -= 1

    def tasks(self, now_ms: Milliseconds, decay_ms: Milliseconds) -> float:
        """Return the estimated number of tasks queued or running."""
        if now_ms != self._drift_ms:
            age_ms = max(0, now_ms - self._reported_ms)
            weight = math.exp(-age_ms / decay_ms)
            self._drift = weight * (self._others - self._others_average)
            self._drift_ms = now_ms
        return self.in_flight + self._others_average + self._drift

    def excess(self, now_ms: Milliseconds, decay_ms: Milliseconds) -> float:
        """Return the estimated number of tasks without a slot of their own.

        It is negative when slots are free.
        """
        return self.tasks(now_ms, decay_ms) - self.slots

    def _count_others(self) -> None:
        """Take the share of other entries from the last report."""
        load = self._load
        self._others = max(0, _reported_tasks(load) - self.in_flight)
        reported_long = load.running_long + load.queued_long
        own_long = self._own[RunClass.LONG]
        self._others_long = max(0, reported_long - own_long)


def _reported_tasks(load: GuardLoad) -> int:
    running = load.slots - load.free_slots
    return running + load.queued_short + load.queued_long
