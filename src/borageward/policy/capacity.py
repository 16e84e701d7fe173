"""Capacity of the linked workers as estimated by one entry."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Sequence

from borageward.clock import Milliseconds
from borageward.configuration import Limits
from borageward.messages.task import RunClass
from borageward.policy.admission import AdmissionContext
from borageward.policy.dispatch import JobNeed, WaitingTask
from borageward.policy.drain_rate import DrainRate
from borageward.policy.guard_view import GuardView
from borageward.policy.job_queue import JobQueue
from borageward.policy.placement import PlacementContext
from borageward.policy.run_times import RunTimeModel
from borageward.policy.shares import ServiceShares
from borageward.policy.workers import Workers

_TAIL_QUANTILE = 0.95
_TYPICAL_QUANTILE = 0.5
# A job gets priority when the time left until its deadline falls below this
# multiple of the time that it is expected to need.
_START_RESERVE_FACTOR = 1.25


class Capacity:
    """Rates and run times for admission and placement decisions.

    A rate is the work, as milliseconds of run time at speed 1, that is
    completed in a millisecond.
    """

    def __init__(
        self,
        workers: Workers,
        queue: JobQueue,
        run_times: RunTimeModel,
    ) -> None:
        """Use the workers, the queue and the run times of a policy."""
        self._workers = workers
        self._queue = queue
        self._run_times = run_times
        self._entries = 1
        self._drain_rate = DrainRate()

    def configure(self, entries: int) -> None:
        """Set the number of live entries, which share the capacity."""
        self._entries = max(1, entries)

    def placement_context(
        self,
        now_ms: Milliseconds,
        own_place: str,
        limits: Limits,
    ) -> PlacementContext:
        """Return the inputs of the placement decisions at a time."""
        return PlacementContext(
            now_ms=now_ms,
            own_place=own_place,
            place_delay_ms=limits.place_delay_ms,
            short_ms=self._run_times.short_mean_ms(),
            queue_limit_tasks=limits.placement_queue_tasks,
            long_share=limits.long_slots_share,
        )

    def admission_context(
        self,
        need: JobNeed,
        shares: ServiceShares,
        limits: Limits,
        now_ms: Milliseconds,
    ) -> AdmissionContext:
        """Return the inputs of the admission decision for a job.

        Run class and eligible workers are those of its first task.
        """
        run_class = self._run_times.run_class(
            need.service,
            need.kinds[0],
            limits.long_task_ms,
        )
        views = self._workers.eligible(need.service, need.kinds[0]).values()
        class_rate = self.rate(views, now_ms, run_class)
        share: float = 1
        if any(view.service != need.service for view in views):
            slots = sum(view.slots for view in views)
            share = shares.share(need.service, self._queue.services(), slots)
        return AdmissionContext(
            now_ms=now_ms,
            queued_tasks=self._queue.task_count,
            job_tasks=len(need.kinds),
            urgent=need.urgent,
            remaining_ms=need.remaining_ms,
            ahead_ms=self._queue.work_ahead_ms(need, run_class),
            job_work_ms=self._work_ms(need),
            tail_ms=self._tail_ms(need),
            rate=class_rate * share,
            total_rate=class_rate,
        )

    def task_sent(self, task: WaitingTask) -> None:
        """Count the work of a short task that is sent to a guard."""
        if task.run_class is RunClass.SHORT:
            self._drain_rate.sent(task.expected_ms)

    def placement_finished(self, now_ms: Milliseconds) -> None:
        """Update the drain rate; short tasks left waiting are a backlog."""
        waiting = self._queue.waiting(RunClass.SHORT, self._queue.lanes)
        self._drain_rate.update(now_ms, backlog=waiting > 0)

    def rate(
        self,
        views: Collection[GuardView],
        now_ms: Milliseconds,
        run_class: RunClass,
    ) -> float:
        """Return the rate that this entry can expect now for a run class.

        For long tasks this is an equal share of the workers' rate. For short
        tasks it is at least that share: during a backlog the measured drain
        rate, otherwise the larger of two estimates: the slots that this entry
        uses plus those that seem free, and the slots that other entries leave
        unused on average.
        """
        equal_rate = self._equal_rate(views, run_class)
        if run_class is RunClass.LONG:
            return equal_rate
        measured = self._drain_rate.rate(now_ms)
        if measured is not None:
            return max(equal_rate, measured)
        short_ms = self._run_times.short_mean_ms()
        usable_rate: float = 0
        unused_rate: float = 0
        for view in views:
            free_slots = max(0, -view.excess_tasks(now_ms, short_ms))
            running = min(view.in_flight, view.slots)
            usable_rate += view.speed * min(view.slots, free_slots + running)
            unused_rate += view.speed * max(
                0,
                view.slots - view.average_other_tasks,
            )
        return max(equal_rate, usable_rate, unused_rate)

    def latest_start_ms(
        self,
        tasks: Sequence[WaitingTask],
    ) -> tuple[Milliseconds, Milliseconds]:
        """Return the latest safe and the last possible start of tasks.

        Both are monotonic times. The first assumes an equal share of the
        workers, a slow run and a reserve. After the second even a typical run
        at the fastest worker would miss the deadline. All tasks belong to one
        job and have the same kind.
        """
        first = tasks[0]
        typical_ms = self._run_times.quantile_ms(
            first.service,
            first.kind,
            _TYPICAL_QUANTILE,
        )
        tail_ms = self._run_times.quantile_ms(
            first.service,
            first.kind,
            _TAIL_QUANTILE,
        )
        views = self._workers.eligible(first.service, first.kind).values()
        equal_rate = self._equal_rate(views, first.run_class) or 1
        fastest = max((view.speed for view in views), default=1)
        work_ms = sum(task.expected_ms for task in tasks)
        needed_ms = work_ms / equal_rate + tail_ms
        return (
            first.deadline_ms - _START_RESERVE_FACTOR * needed_ms,
            first.deadline_ms - typical_ms / fastest,
        )

    def _equal_rate(
        self,
        views: Collection[GuardView],
        run_class: RunClass,
    ) -> float:
        """Return the rate of a class if all entries share it equally."""
        class_rate: float = 0
        for view in views:
            slots = view.slots
            if run_class is RunClass.SHORT:
                slots = max(1, slots - view.long_tasks)
            class_rate += view.speed * slots
        return class_rate / self._entries

    def _work_ms(self, need: JobNeed) -> Milliseconds:
        return sum(
            count * self._run_times.mean_ms(need.service, kind)
            for kind, count in Counter(need.kinds).items()
        )

    def _tail_ms(self, need: JobNeed) -> Milliseconds:
        return max(
            self._run_times.quantile_ms(need.service, kind, _TAIL_QUANTILE)
            for kind in set(need.kinds)
        )
