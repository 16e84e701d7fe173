"""The decisions of an entry: admission, order, placement and retries."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Sequence

import attrs

from borageward.clock import Milliseconds
from borageward.configuration import Configuration, initial_configuration
from borageward.failures import Failure, FailureReason
from borageward.identity import JobId
from borageward.messages.guard import GuardLoad
from borageward.messages.task import RunClass
from borageward.policy.admission import Admission, PredictedWaitAdmission
from borageward.policy.capacity import Capacity
from borageward.policy.delayed import DelayedTasks
from borageward.policy.dispatch import Assignment, JobNeed, WaitingTask
from borageward.policy.guard_view import GuardView
from borageward.policy.job_queue import JobQueue, LaneKey
from borageward.policy.outliers import OutlierDetector, PeerOutlierDetector
from borageward.policy.placement import (
    EarliestFinishPlacement,
    Placement,
)
from borageward.policy.retries import BudgetedRetries, RetryPolicy
from borageward.policy.run_times import LearntRunTimes, RunTimeModel
from borageward.policy.shares import FairShares, ServiceShares
from borageward.policy.workers import Workers

# Held tasks are placed again after this time without any event.
_HOLD_POLL_MS = 20.0


@attrs.define(slots=True, eq=False)
class DispatchParts:
    """Replaceable decisions; those left out get their defaults."""

    placement: Placement | None = None
    admission: Admission | None = None
    retries: RetryPolicy | None = None
    outliers: OutlierDetector | None = None
    shares: ServiceShares | None = None
    run_times: RunTimeModel | None = None


class AdaptiveDispatchPolicy:
    """Default ``DispatchPolicy``: learns run times, speeds and loads."""

    def __init__(
        self,
        own_place: str,
        source: random.Random,
        parts: DispatchParts | None = None,
    ) -> None:
        """Start without guards; jitter comes from a seeded source."""
        chosen = parts or DispatchParts()
        configuration = initial_configuration()
        limits = configuration.limits
        self._own_place = own_place
        self._limits = limits
        self._workers = Workers(configuration)
        self._queue = JobQueue()
        self._delayed = DelayedTasks()
        self._placement = chosen.placement or EarliestFinishPlacement()
        self._admission = chosen.admission or PredictedWaitAdmission()
        self._retries = chosen.retries or BudgetedRetries(source, limits)
        self._outliers = chosen.outliers or PeerOutlierDetector(source, limits)
        self._shares = chosen.shares or FairShares(configuration)
        self._run_times = chosen.run_times or LearntRunTimes()
        self._capacity = Capacity(self._workers, self._queue, self._run_times)
        self._now_ms: Milliseconds = 0
        self._candidates_of: dict[LaneKey, dict[str, GuardView]] = {}
        self._scene = self._capacity.placement_scene(0, own_place, limits)

    @property
    def outliers(self) -> OutlierDetector:
        """Return the detector of failing workers."""
        return self._outliers

    @property
    def queued_tasks(self) -> int:
        """Return the number of waiting tasks, delayed ones included."""
        return self._queue.task_count + self._delayed.task_count

    def configure(self, configuration: Configuration, entries: int) -> None:
        """Use a configuration; quotas are split over the live entries."""
        self._limits = configuration.limits
        self._workers.configure(configuration)
        self._shares.configure(configuration, entries)
        self._retries.configure(configuration.limits)
        self._outliers.configure(configuration.limits)
        self._capacity.configure(entries)

    def add_guard(
        self,
        worker: str,
        place: str,
        service: str,
        load: GuardLoad,
    ) -> None:
        """Start to place work at a worker whose guard is linked."""
        self._workers.add(worker, place, service, load, self._now_ms)

    def remove_guard(self, worker: str) -> None:
        """Place no more work at a worker."""
        self._workers.remove(worker)
        self._outliers.forget(worker)

    def load_reported(
        self,
        worker: str,
        load: GuardLoad,
        now_ms: Milliseconds | None = None,
    ) -> None:
        """Use a newer load of a worker."""
        view = self._workers.views.get(worker)
        if view is not None:
            view.report(load, self._time(now_ms))
            self._workers.speeds_changed()

    def admit(self, need: JobNeed, now_ms: Milliseconds) -> Failure | None:
        """Return why a job is refused before its claim, or nothing."""
        now_ms = self._time(now_ms)
        for kind in set(need.kinds):
            if not self._workers.eligible(need.service, kind):
                return Failure(
                    FailureReason.NO_RUNNER,
                    f'no runner takes {need.service} {kind}',
                )
        scene = self._capacity.admission_scene(
            need,
            self._shares,
            self._limits,
            now_ms,
        )
        return self._admission.decide(
            attrs.evolve(scene, queued_tasks=self.queued_tasks),
            self._limits,
        )

    def enqueue(
        self,
        tasks: Sequence[WaitingTask],
        now_ms: Milliseconds,
    ) -> None:
        """Add tasks of a claimed job to the queue."""
        now_ms = self._time(now_ms)
        lanes: defaultdict[LaneKey, list[WaitingTask]] = defaultdict(list)
        self._classify(tasks)
        for task in tasks:
            lanes[LaneKey.of(task)].append(task)
        for lane_tasks in lanes.values():
            latest_ms, cutoff_ms = self._capacity.latest_start_ms(lane_tasks)
            self._queue.push(lane_tasks, latest_ms, cutoff_ms)

    def assignments(self, now_ms: Milliseconds) -> list[Assignment]:
        """Return what to start now; the tasks leave the queue."""
        now_ms = self._time(now_ms)
        for task in self._delayed.due(now_ms):
            self.enqueue((task,), now_ms)
        batches: dict[tuple[str, JobId], list[WaitingTask]] = {}
        blocked: set[LaneKey] = set()
        self._candidates_of.clear()
        self._scene = self._capacity.placement_scene(
            now_ms,
            self._own_place,
            self._limits,
        )
        lane = self._next_lane(blocked, now_ms)
        while lane is not None:
            worker = self._worker_for(lane, blocked, now_ms)
            if worker is None:
                blocked.add(lane)
            else:
                task = self._send(lane, worker, now_ms)
                batches.setdefault((worker, task.job_id), []).append(task)
            lane = self._next_lane(blocked, now_ms)
        self._capacity.placed(now_ms)
        return [
            Assignment(worker, job_id, tuple(tasks))
            for (worker, job_id), tasks in batches.items()
        ]

    def task_finished(
        self,
        worker: str,
        task: WaitingTask,
        run_ms: Milliseconds,
        failed: bool,
        now_ms: Milliseconds | None = None,
    ) -> None:
        """Learn from a task that ran at a worker."""
        now_ms = self._time(now_ms)
        self._settled(worker, task)
        self._outliers.record(worker, task.job_id, failed, now_ms)
        if now_ms > task.deadline_ms:
            self._admission.deadline_missed(now_ms)
        else:
            self._admission.deadline_met()
        view = self._workers.views.get(worker)
        if failed or view is None:
            return
        relative = view.speed / self._workers.mean_speed()
        self._run_times.observe(task.service, task.kind, run_ms * relative)

    def task_not_run(
        self,
        worker: str,
        task: WaitingTask,
        now_ms: Milliseconds,
        reason: FailureReason | None = None,
    ) -> Failure | None:
        """Queue a task again that provably did not run at a worker.

        Returns the reason when it is not retried.
        """
        now_ms = self._time(now_ms)
        self._settled(worker, task)
        refusal = self._retries.refusal(task, reason)
        if refusal is not None:
            return refusal
        task.excluded = task.excluded | {worker}
        self._delayed.push(now_ms + self._retries.delay_ms(task), task)
        return None

    def task_lost(self, worker: str, task: WaitingTask) -> None:
        """Forget a task of which nobody knows whether it ran."""
        self._settled(worker, task)

    def cancel(self, job_id: JobId) -> list[WaitingTask]:
        """Remove the waiting tasks of a job, linear in their number."""
        return self._queue.cancel(job_id) + self._delayed.cancel(job_id)

    def expired(self, now_ms: Milliseconds) -> list[WaitingTask]:
        """Remove and return waiting tasks that cannot meet the deadline."""
        now_ms = self._time(now_ms)
        removed = self._queue.expired(now_ms) + self._delayed.expired(now_ms)
        if removed:
            self._admission.deadline_missed(now_ms)
        return removed

    def next_wake_ms(self, now_ms: Milliseconds) -> Milliseconds | None:
        """Return when to ask again without an event, or nothing."""
        times = [self._delayed.next_ms(), self._queue.next_cutoff_ms()]
        if self._queue.task_count:
            times.append(now_ms + _HOLD_POLL_MS)
        known = [time for time in times if time is not None]
        return min(known, default=None)

    def _time(self, now_ms: Milliseconds | None) -> Milliseconds:
        """Remember the newest time; events without one use it."""
        if now_ms is not None:
            self._now_ms = max(self._now_ms, now_ms)
        return self._now_ms

    def _classify(self, tasks: Sequence[WaitingTask]) -> None:
        """Set what is learnt of each kind; one look-up for all its tasks."""
        learnt: dict[tuple[str, str], tuple[Milliseconds, RunClass]] = {}
        for task in tasks:
            key = (task.service, task.kind)
            if key not in learnt:
                learnt[key] = self._learnt(*key)
            expected_ms, run_class = learnt[key]
            task.expected_ms = expected_ms
            task.run_class = run_class

    def _learnt(self, service: str, kind: str) -> tuple[Milliseconds, RunClass]:
        run_class = self._run_times.run_class(
            service,
            kind,
            self._limits.long_task_ms,
        )
        return self._run_times.mean_ms(service, kind), run_class

    def _next_lane(
        self,
        blocked: set[LaneKey],
        now_ms: Milliseconds,
    ) -> LaneKey | None:
        """Return the lane to serve next: urgent first, then by share."""
        ranks: dict[LaneKey, tuple[object, ...]] = {}
        for lane in self._queue.lanes:
            order = self._queue.order(lane, now_ms)
            if order is not None and lane not in blocked:
                share = self._shares.rank(lane.service)
                ranks[lane] = (not lane.urgent, share, order)
        return min(ranks, key=ranks.__getitem__, default=None)

    def _worker_for(
        self,
        lane: LaneKey,
        blocked: set[LaneKey],
        now_ms: Milliseconds,
    ) -> str | None:
        """Return a worker for one task of a lane, or nothing."""
        task = self._queue.first(lane, now_ms)
        if task is None:
            return None
        return self._placement.choose(
            task,
            self._candidates(lane, now_ms),
            self._scene,
            self._queue.waiting(task.run_class, {lane, *blocked}),
        )

    def _candidates(
        self,
        lane: LaneKey,
        now_ms: Milliseconds,
    ) -> dict[str, GuardView]:
        known = self._candidates_of.get(lane)
        if known is not None:
            return known
        eligible = self._workers.eligible(lane.service, lane.kind)
        in_flight = {name: view.in_flight for name, view in eligible.items()}
        blocked = self._outliers.blocked(eligible.keys(), in_flight, now_ms)
        allowed = eligible.keys() - blocked
        preferred = allowed - lane.excluded
        names = preferred or allowed
        found = {name: eligible[name] for name in eligible if name in names}
        if not blocked:
            # A probe changes what is blocked; otherwise the candidates hold
            # for all tasks that are placed at one time.
            self._candidates_of[lane] = found
        return found

    def _send(
        self,
        lane: LaneKey,
        worker: str,
        now_ms: Milliseconds,
    ) -> WaitingTask:
        task = self._queue.take(lane, now_ms)
        if not task.attempt:
            self._retries.record_first_attempt()
        task.attempt += 1
        self._workers.views[worker].sent(task.run_class)
        self._capacity.sent(task)
        self._shares.started(task.service)
        self._outliers.sent(worker, now_ms)
        return task

    def _settled(self, worker: str, task: WaitingTask) -> None:
        self._shares.ended(task.service)
        view = self._workers.views.get(worker)
        if view is not None:
            view.settled(task.run_class)
