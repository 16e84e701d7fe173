"""What the linked workers can do in a given time, as one entry sees it."""

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
from borageward.policy.placement import PlacementScene
from borageward.policy.run_times import RunTimeModel
from borageward.policy.shares import ServiceShares
from borageward.policy.workers import Workers

_TAIL_QUANTILE = 0.95
_TYPICAL_QUANTILE = 0.5
# A job is served first when this multiple of its remaining time is left.
_START_RESERVE = 1.25


class Capacity:
    """Rates and run times that admission and placement are based on.

    Rates are run time at speed 1 that is done in a millisecond.
    """

    def __init__(
        self,
        workers: Workers,
        queue: JobQueue,
        run_times: RunTimeModel,
    ) -> None:
        """Use the views, the queue and the run times of a policy."""
        self._workers = workers
        self._queue = queue
        self._run_times = run_times
        self._entries = 1
        self._drain = DrainRate()

    def configure(self, entries: int) -> None:
        """Split the capacity over the live entries."""
        self._entries = max(1, entries)

    def placement_scene(
        self,
        now_ms: Milliseconds,
        own_place: str,
        limits: Limits,
    ) -> PlacementScene:
        """Return what a placement decision may look at."""
        return PlacementScene(
            now_ms=now_ms,
            own_place=own_place,
            place_delay_ms=limits.place_delay_ms,
            short_ms=self._run_times.short_mean_ms(),
            allowance_tasks=limits.placement_queue_tasks,
            long_share=limits.long_slots_share,
        )

    def admission_scene(
        self,
        need: JobNeed,
        shares: ServiceShares,
        limits: Limits,
        now_ms: Milliseconds,
    ) -> AdmissionContext:
        """Return what an admission decision may look at."""
        run_class = self._run_times.run_class(
            need.service,
            need.kinds[0],
            limits.long_task_ms,
        )
        views = self._workers.eligible(need.service, need.kinds[0]).values()
        whole = self.rate(views, now_ms, run_class)
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
            rate=whole * share,
            total_rate=whole,
        )

    def sent(self, task: WaitingTask) -> None:
        """Count a task that is sent to a guard."""
        if task.run_class is RunClass.SHORT:
            self._drain.sent(task.expected_ms)

    def placed(self, now_ms: Milliseconds) -> None:
        """Learn what the last placement left in the queue."""
        waiting = self._queue.waiting(RunClass.SHORT, self._queue.lanes)
        self._drain.update(now_ms, backlog=waiting > 0)

    def rate(
        self,
        views: Collection[GuardView],
        now_ms: Milliseconds,
        run_class: RunClass,
    ) -> float:
        """Return the rate that the entry can count on now for a class.

        During a backlog it is the measured rate. Otherwise it is what the
        entry uses already together with the slots that seem free, or what
        other entries usually leave. It is never below the equal part.
        """
        equal = self._equal_rate(views, run_class)
        if run_class is RunClass.LONG:
            return equal
        measured = self._drain.rate(now_ms)
        if measured is not None:
            return max(equal, measured)
        short_ms = self._run_times.short_mean_ms()
        usable: float = 0
        left: float = 0
        for view in views:
            free = max(0, -view.excess(now_ms, short_ms))
            running = min(view.in_flight, view.slots)
            usable += view.speed * min(view.slots, free + running)
            left += view.speed * max(0, view.slots - view.others_average)
        return max(equal, usable, left)

    def latest_start_ms(
        self,
        tasks: Sequence[WaitingTask],
    ) -> tuple[Milliseconds, Milliseconds]:
        """Return the latest safe start of a job and its last possible one."""
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
        equal = self._equal_rate(views, first.run_class) or 1
        fastest = max((view.speed for view in views), default=1)
        work_ms = sum(task.expected_ms for task in tasks)
        needed_ms = work_ms / equal + tail_ms
        return (
            first.deadline_ms - _START_RESERVE * needed_ms,
            first.deadline_ms - typical_ms / fastest,
        )

    def _equal_rate(
        self,
        views: Collection[GuardView],
        run_class: RunClass,
    ) -> float:
        """Return the equal part of the slots that a class can use."""
        whole: float = 0
        for view in views:
            slots = view.slots
            if run_class is RunClass.SHORT:
                slots = max(1, slots - view.long_tasks)
            whole += view.speed * slots
        return whole / self._entries

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
