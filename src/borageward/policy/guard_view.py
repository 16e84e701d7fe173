"""Load of a guard as estimated by one of the entries that share it.

A guard attaches a load report to each of its answers, so the report is as old
as the last answer. The entry counts its own tasks exactly. The tasks of other
entries are derived from the last report; as it ages, the estimate decays
exponentially to their moving average.
"""

from __future__ import annotations

import math

from borageward.clock import Milliseconds
from borageward.messages.guard import GuardLoad
from borageward.messages.task import RunClass

_SMOOTHING_FACTOR = 0.1
_MIN_SPEED = 0.05


class GuardView:
    """Estimated load of one guard."""

    def __init__(
        self,
        place: str,
        service: str,
        load: GuardLoad,
        now_ms: Milliseconds,
    ) -> None:
        """Start from the load that the guard sent in its ``Welcome``."""
        self._place = place
        self._service = service
        self._load = load
        self._reported_ms = now_ms
        self._own_tasks = {RunClass.SHORT: 0, RunClass.LONG: 0}
        self._in_flight = 0
        self._other_tasks = float(_reported_tasks(self._load))
        self._average_other_tasks = self._other_tasks
        self._other_long_tasks = 0
        # Computed once for all placements at one time. NaN is unequal to any
        # time and so marks the value as outdated.
        self._decayed_deviation: float = 0
        self._deviation_time_ms = float('nan')
        self._update_other_tasks()

    @property
    def place(self) -> str:
        """Return the place of the worker."""
        return self._place

    @property
    def service(self) -> str:
        """Return the service of the runner; ``*`` or empty means any."""
        return self._service

    @property
    def load(self) -> GuardLoad:
        """Return the last load report."""
        return self._load

    @property
    def slots(self) -> int:
        """Return the number of slots of the runner."""
        return self._load.slots

    @property
    def speed(self) -> float:
        """Return the learnt speed of the runner; 1 is average."""
        return max(_MIN_SPEED, self._load.speed)

    @property
    def in_flight(self) -> int:
        """Return the number of this entry's tasks at the guard."""
        return self._in_flight

    @property
    def long_tasks(self) -> int:
        """Return the number of long tasks of all entries at the guard."""
        return self._other_long_tasks + self._own_tasks[RunClass.LONG]

    @property
    def average_other_tasks(self) -> float:
        """Return the moving average of the tasks of other entries."""
        return self._average_other_tasks

    def in_flight_of(self, run_class: RunClass) -> int:
        """Return the number of this entry's tasks of a class at the guard."""
        return self._own_tasks[run_class]

    def update_load(self, load: GuardLoad, now_ms: Milliseconds) -> None:
        """Replace the load report and update the average of other tasks."""
        self._load = load
        self._reported_ms = now_ms
        self._update_other_tasks()
        change = self._other_tasks - self._average_other_tasks
        self._average_other_tasks += _SMOOTHING_FACTOR * change
        self._deviation_time_ms = float('nan')

    def long_slots(self, long_share: float) -> int:
        """Return the number of slots that long tasks may hold; at least 1."""
        return max(1, int(self.slots * long_share))

    def task_sent(self, run_class: RunClass) -> None:
        """Count a task that this entry sends to the guard."""
        self._own_tasks[run_class] += 1
        self._in_flight += 1

    def task_settled(self, run_class: RunClass) -> None:
        """Stop counting a task that is no longer at the guard."""
        if self._own_tasks[run_class]:
            self._own_tasks[run_class] -= 1
            self._in_flight -= 1

    def estimated_tasks(
        self,
        now_ms: Milliseconds,
        decay_ms: Milliseconds,
    ) -> float:
        """Return the estimated number of tasks queued or running.

        ``decay_ms`` is the time constant with which the last report loses
        weight against the average.
        """
        if now_ms != self._deviation_time_ms:
            age_ms = max(0, now_ms - self._reported_ms)
            weight = math.exp(-age_ms / decay_ms)
            self._decayed_deviation = weight * (
                self._other_tasks - self._average_other_tasks
            )
            self._deviation_time_ms = now_ms
        return (
            self.in_flight + self._average_other_tasks + self._decayed_deviation
        )

    def excess_tasks(
        self,
        now_ms: Milliseconds,
        decay_ms: Milliseconds,
    ) -> float:
        """Return the estimated number of tasks minus the number of slots.

        A negative result means that slots are free.
        """
        return self.estimated_tasks(now_ms, decay_ms) - self.slots

    def _update_other_tasks(self) -> None:
        """Derive the tasks of other entries from the last report."""
        load = self._load
        self._other_tasks = max(0, _reported_tasks(load) - self.in_flight)
        reported_long = load.running_long + load.queued_long
        own_long = self._own_tasks[RunClass.LONG]
        self._other_long_tasks = max(0, reported_long - own_long)


def _reported_tasks(load: GuardLoad) -> int:
    running = load.slots - load.free_slots
    return running + load.queued_short + load.queued_long
