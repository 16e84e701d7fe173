"""Dispatch policy that adapts to learnt run times, speeds and loads.

It decides the admission, order, placement and retries of an entry's tasks.
"""

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

# Interval at which placement is tried again while tasks wait in the queue: the
# estimated load of a guard changes without an event as its report ages.
_PLACEMENT_POLL_MS = 20.0


@attrs.define(slots=True, eq=False)
class DispatchParts:
    """Replaceable parts of the policy; ``None`` selects the default one."""

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
        """Create a policy of an entry in ``own_place``, without any guard.

        ``source`` supplies the random numbers of retries and outlier probes.
        """
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
        self._context = self._capacity.placement_context(0, own_place, limits)

    @property
    def outliers(self) -> OutlierDetector:
        """Return the detector of failing workers."""
        return self._outliers

    @property
    def queued_tasks(self) -> int:
        """Return the number of waiting tasks, including delayed retries."""
        return self._queue.task_count + self._delayed.task_count

    def configure(self, configuration: Configuration, entries: int) -> None:
        """Apply a configuration; live entries share quotas and capacity."""
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
        """Add a worker to those that tasks can be placed at."""
        self._workers.add(worker, place, service, load, self._now_ms)

    def remove_guard(self, worker: str) -> None:
        """Stop placing tasks at a worker and discard its outlier record."""
        self._workers.remove(worker)
        self._outliers.forget(worker)

    def load_reported(
        self,
        worker: str,
        load: GuardLoad,
        now_ms: Milliseconds | None = None,
    ) -> None:
        """Update the load of a worker; unknown workers are ignored."""
        view = self._workers.views.get(worker)
        if view is not None:
            view.update_load(load, self._update_now(now_ms))
            self._workers.invalidate_mean_speed()

    def admit(self, need: JobNeed, now_ms: Milliseconds) -> Failure | None:
        """Return the reason to refuse a job before it is claimed, or None.

        The reason is ``NO_RUNNER`` if a task of the job has no eligible
        worker, otherwise it is that of the admission policy.
        """
        now_ms = self._update_now(now_ms)
        for kind in set(need.kinds):
            if not self._workers.eligible(need.service, kind):
                return Failure(
                    FailureReason.NO_RUNNER,
                    f'no runner accepts service {need.service}, kind {kind}',
                )
        context = self._capacity.admission_context(
            need,
            self._shares,
            self._limits,
            now_ms,
        )
        return self._admission.decide(
            attrs.evolve(context, queued_tasks=self.queued_tasks),
            self._limits,
        )

    def enqueue(
        self,
        tasks: Sequence[WaitingTask],
        now_ms: Milliseconds,
    ) -> None:
        """Set the expected run times of tasks and add them to the queue."""
        now_ms = self._update_now(now_ms)
        lanes: defaultdict[LaneKey, list[WaitingTask]] = defaultdict(list)
        self._classify(tasks)
        for task in tasks:
            lanes[LaneKey.of(task)].append(task)
        for lane_tasks in lanes.values():
            latest_ms, cutoff_ms = self._capacity.latest_start_ms(lane_tasks)
            self._queue.push(lane_tasks, latest_ms, cutoff_ms)

    def assignments(self, now_ms: Milliseconds) -> list[Assignment]:
        """Place waiting tasks and remove them from the queue.

        Due retries are queued first. A lane without a suitable worker is
        skipped for the rest of the call. The tasks that a job gets at the
        same worker form one assignment.
        """
        now_ms = self._update_now(now_ms)
        for task in self._delayed.due(now_ms):
            self.enqueue((task,), now_ms)
        batches: dict[tuple[str, JobId], list[WaitingTask]] = {}
        blocked: set[LaneKey] = set()
        self._candidates_of.clear()
        self._context = self._capacity.placement_context(
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
                task = self._take_task(lane, worker, now_ms)
                batches.setdefault((worker, task.job_id), []).append(task)
            lane = self._next_lane(blocked, now_ms)
        self._capacity.placement_finished(now_ms)
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
        """Update run times, outliers and admission after a task ran.

        ``run_ms`` counts towards the run time of the kind only if the task
        succeeded; it is normalised by the speed of the worker.
        """
        now_ms = self._update_now(now_ms)
        self._record_settled(worker, task)
        self._outliers.record(worker, task.job_id, failed, now_ms)
        if now_ms > task.deadline_ms:
            self._admission.deadline_missed(now_ms)
        else:
            self._admission.deadline_met()
        view = self._workers.views.get(worker)
        if failed or view is None:
            return
        relative_speed = view.speed / self._workers.mean_speed()
        self._run_times.observe(
            task.service,
            task.kind,
            run_ms * relative_speed,
        )

    def task_not_run(
        self,
        worker: str,
        task: WaitingTask,
        now_ms: Milliseconds,
        reason: FailureReason | None = None,
    ) -> Failure | None:
        """Schedule a retry, preferably at a worker not yet tried.

        Returns the failure of the task if the retry policy refuses a retry,
        otherwise None.
        """
        now_ms = self._update_now(now_ms)
        self._record_settled(worker, task)
        refusal = self._retries.refusal(task, reason)
        if refusal is not None:
            return refusal
        task.excluded = task.excluded | {worker}
        self._delayed.push(now_ms + self._retries.delay_ms(task), task)
        return None

    def task_lost(self, worker: str, task: WaitingTask) -> None:
        """Release the slot of a task of unknown outcome; it is not retried."""
        self._record_settled(worker, task)

    def cancel(self, job_id: JobId) -> list[WaitingTask]:
        """Remove and return the waiting tasks of a job, in linear time."""
        return self._queue.cancel(job_id) + self._delayed.cancel(job_id)

    def expired(self, now_ms: Milliseconds) -> list[WaitingTask]:
        """Remove and return waiting tasks that cannot meet their deadline."""
        now_ms = self._update_now(now_ms)
        removed = self._queue.expired(now_ms) + self._delayed.expired(now_ms)
        if removed:
            self._admission.deadline_missed(now_ms)
        return removed

    def next_wake_ms(self, now_ms: Milliseconds) -> Milliseconds | None:
        """Return when to call ``assignments`` and ``expired`` again.

        None means that no task waits, so no call is needed before the next
        event.
        """
        times = [self._delayed.next_ms(), self._queue.next_cutoff_ms()]
        if self._queue.task_count:
            times.append(now_ms + _PLACEMENT_POLL_MS)
        known = [time for time in times if time is not None]
        return min(known, default=None)

    def _update_now(self, now_ms: Milliseconds | None) -> Milliseconds:
        """Advance the latest known time and return it.

        Events without a time of their own use the latest known one.
        """
        if now_ms is not None:
            self._now_ms = max(self._now_ms, now_ms)
        return self._now_ms

    def _classify(self, tasks: Sequence[WaitingTask]) -> None:
        """Set the expected run time and class of tasks by their kind.

        The model is queried once for each kind, not for each task.
        """
        learnt: dict[tuple[str, str], tuple[Milliseconds, RunClass]] = {}
        for task in tasks:
            key = (task.service, task.kind)
            if key not in learnt:
                learnt[key] = self._expected_run(*key)
            expected_ms, run_class = learnt[key]
            task.expected_ms = expected_ms
            task.run_class = run_class

    def _expected_run(
        self,
        service: str,
        kind: str,
    ) -> tuple[Milliseconds, RunClass]:
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
        """Return the lane to serve next, or None if all are blocked or empty.

        Urgent lanes come first, then lanes by the rank of their service, then
        by the order of the jobs that they hold.
        """
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
        """Return a worker for the next task of a lane, or None."""
        task = self._queue.first(lane, now_ms)
        if task is None:
            return None
        return self._placement.choose(
            task,
            self._candidates(lane, now_ms),
            self._context,
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
            # A probe of a blocked worker changes the blocked set, so the
            # candidates are cached for this call only if none is blocked.
            self._candidates_of[lane] = found
        return found

    def _take_task(
        self,
        lane: LaneKey,
        worker: str,
        now_ms: Milliseconds,
    ) -> WaitingTask:
        task = self._queue.take(lane, now_ms)
        if not task.attempt:
            self._retries.record_first_attempt()
        task.attempt += 1
        self._workers.views[worker].task_sent(task.run_class)
        self._capacity.task_sent(task)
        self._shares.task_started(task.service)
        self._outliers.sent(worker, now_ms)
        return task

    def _record_settled(self, worker: str, task: WaitingTask) -> None:
        self._shares.task_ended(task.service)
        view = self._workers.views.get(worker)
        if view is not None:
            view.task_settled(task.run_class)
