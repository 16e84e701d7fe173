"""Queue of waiting tasks that serves the jobs of a service fairly.

Tasks with the same service, kind, urgency and excluded workers form a lane,
because the same workers can run them. A lane serves its jobs round-robin, one
task at a time; a job whose latest start has come is served before the others.
"""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from collections.abc import Iterable, Sequence

import attrs

from borageward.clock import Milliseconds
from borageward.identity import JobId
from borageward.messages.task import RunClass
from borageward.policy.dispatch import JobNeed, WaitingTask


@attrs.frozen(slots=True)
class LaneKey:
    """Properties that all tasks of a lane share."""

    urgent: bool
    service: str
    kind: str
    excluded: frozenset[str]

    @classmethod
    def of(cls, task: WaitingTask) -> LaneKey:
        """Return the lane of a task."""
        return cls(task.urgent, task.service, task.kind, task.excluded)


@attrs.define(slots=True, eq=False)
class QueuedJob:
    """Waiting tasks of one job in one lane.

    ``start_tag`` is the virtual time of the job's next task in fair order.
    From ``latest_start_ms`` on the job is served before the others, and from
    ``cutoff_ms`` on it cannot meet its deadline.
    """

    lane: LaneKey
    tasks: deque[WaitingTask]
    start_tag: float
    latest_start_ms: Milliseconds
    cutoff_ms: Milliseconds


class JobHeap:
    """Heap of jobs ordered by a key, with lazy removal of emptied jobs."""

    def __init__(self) -> None:
        """Create an empty heap."""
        self._heap: list[tuple[float, int, QueuedJob]] = []
        self._sequence = itertools.count()

    @property
    def is_empty(self) -> bool:
        """Return whether the heap has no entries, emptied jobs included."""
        return not self._heap

    def jobs(self) -> Iterable[QueuedJob]:
        """Return the jobs that have tasks, in no particular order."""
        return (job for _, _, job in self._heap if job.tasks)

    def push(self, key: float, job: QueuedJob) -> None:
        """Add a job; jobs with equal keys keep the order of insertion."""
        heapq.heappush(self._heap, (key, next(self._sequence), job))

    def first(self) -> tuple[float, QueuedJob] | None:
        """Return the first job that has tasks and its key, or ``None``.

        Entries of emptied jobs in front of it are removed.
        """
        while self._heap:
            key, _, job = self._heap[0]
            if job.tasks:
                return key, job
            heapq.heappop(self._heap)
        return None

    def pop(self) -> None:
        """Remove the first entry."""
        heapq.heappop(self._heap)

    def compact(self) -> None:
        """Remove the entries of all emptied jobs."""
        self._heap = [entry for entry in self._heap if entry[-1].tasks]
        heapq.heapify(self._heap)


class _Lane:
    """Jobs of one lane, in fair order and by latest start."""

    def __init__(self) -> None:
        """Create an empty lane."""
        self.fair = JobHeap()
        self.by_latest_start = JobHeap()
        self.virtual_time: float = 0
        self.task_count = 0
        self.run_class = RunClass.SHORT

    def order(self, now_ms: Milliseconds) -> tuple[bool, float] | None:
        """Return the sort key of the next job, or ``None`` without jobs.

        Jobs whose latest start has come sort before all others.
        """
        due = self.by_latest_start.first()
        if due is not None and due[0] <= now_ms:
            return False, due[0]
        fair = self.fair.first()
        return None if fair is None else (True, fair[0])

    def first(self, now_ms: Milliseconds) -> QueuedJob | None:
        """Return the job to serve next, or ``None`` without jobs."""
        due = self.by_latest_start.first()
        if due is not None and due[0] <= now_ms:
            return due[1]
        fair = self.fair.first()
        return None if fair is None else fair[1]

    def work_ahead_ms(self, tasks: int) -> Milliseconds:
        """Return the expected run time of up to ``tasks`` tasks of each job."""
        return sum(
            min(tasks, len(job.tasks)) * job.tasks[0].expected_ms
            for job in self.fair.jobs()
        )


class JobQueue:
    """Waiting tasks by lane.

    Cancelling a job takes amortised time linear in its waiting tasks.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._lanes: dict[LaneKey, _Lane] = {}
        self._jobs: dict[JobId, list[QueuedJob]] = {}
        self._by_cutoff = JobHeap()
        self._tasks = 0
        self._emptied_jobs = 0

    @property
    def task_count(self) -> int:
        """Return the number of waiting tasks."""
        return self._tasks

    @property
    def lanes(self) -> Iterable[LaneKey]:
        """Return all lanes, including empty ones not removed yet."""
        return tuple(self._lanes)

    def services(self) -> set[str]:
        """Return the services of all lanes."""
        return {lane.service for lane in self._lanes}

    def push(
        self,
        tasks: Sequence[WaitingTask],
        latest_start_ms: Milliseconds,
        cutoff_ms: Milliseconds,
    ) -> None:
        """Add tasks of one job, at least one and all of the same lane."""
        first = tasks[0]
        key = LaneKey.of(first)
        lane = self._lanes.setdefault(key, _Lane())
        lane.run_class = first.run_class
        job = QueuedJob(
            key,
            deque(tasks),
            lane.virtual_time,
            latest_start_ms,
            cutoff_ms,
        )
        lane.fair.push(job.start_tag, job)
        lane.by_latest_start.push(latest_start_ms, job)
        self._by_cutoff.push(cutoff_ms, job)
        self._jobs.setdefault(first.job_id, []).append(job)
        self._adjust_counts(job, len(job.tasks))

    def first(self, key: LaneKey, now_ms: Milliseconds) -> WaitingTask | None:
        """Return the next task of a lane, or ``None``.

        A lane without tasks is removed.
        """
        lane = self._lanes.get(key)
        if lane is None:
            return None
        job = lane.first(now_ms)
        if job is None:
            self._lanes.pop(key)
            return None
        return job.tasks[0]

    def order(
        self,
        key: LaneKey,
        now_ms: Milliseconds,
    ) -> tuple[bool, float] | None:
        """Return the sort key of a lane, or ``None``.

        A lane without tasks is removed.
        """
        sort_key = self._lanes[key].order(now_ms)
        if sort_key is None:
            self._lanes.pop(key)
        return sort_key

    def waiting(self, run_class: RunClass, lanes: Iterable[LaneKey]) -> int:
        """Return the number of tasks of a run class in the given lanes."""
        return sum(
            self._lanes[key].task_count
            for key in lanes
            if key in self._lanes and self._lanes[key].run_class is run_class
        )

    def work_ahead_ms(
        self,
        need: JobNeed,
        run_class: RunClass,
    ) -> Milliseconds:
        """Return the expected run time of work served before a new job.

        Only work of the given run class counts. A lane serves its jobs
        round-robin, so of each waiting job at most as many tasks as the new
        job has are served before it.
        """
        ahead_ms: Milliseconds = 0
        for key, lane in self._lanes.items():
            is_same_class = (
                key.service == need.service and lane.run_class is run_class
            )
            if is_same_class and key.urgent >= need.urgent:
                ahead_ms += lane.work_ahead_ms(len(need.kinds))
        return ahead_ms

    def take(self, key: LaneKey, now_ms: Milliseconds) -> WaitingTask:
        """Remove and return the next task of a lane that is not empty."""
        lane = self._lanes[key]
        job = lane.first(now_ms)
        assert job is not None
        task = job.tasks.popleft()
        self._adjust_counts(job, -1)
        self._advance(lane, job)
        if not job.tasks:
            self._unlink_job(task.job_id, job)
        return task

    def cancel(self, job_id: JobId) -> list[WaitingTask]:
        """Remove and return the waiting tasks of a job."""
        removed: list[WaitingTask] = []
        for job in self._jobs.pop(job_id, ()):
            removed.extend(self._remove_tasks(job))
        self._compact_when_sparse()
        return removed

    def expired(self, now_ms: Milliseconds) -> list[WaitingTask]:
        """Remove and return the tasks of jobs whose cutoff has come."""
        removed: list[WaitingTask] = []
        first = self._by_cutoff.first()
        while first is not None and first[0] <= now_ms:
            job = first[1]
            self._unlink_job(job.tasks[0].job_id, job)
            removed.extend(self._remove_tasks(job))
            first = self._by_cutoff.first()
        return removed

    def next_cutoff_ms(self) -> Milliseconds | None:
        """Return the earliest cutoff of the waiting jobs, or ``None``."""
        first = self._by_cutoff.first()
        return None if first is None else first[0]

    def _advance(self, lane: _Lane, job: QueuedJob) -> None:
        """Advance the virtual time and the start tag of a served job."""
        fair = lane.fair.first()
        lane.virtual_time = max(lane.virtual_time, job.start_tag)
        job.start_tag += 1
        if fair is not None and fair[1] is job:
            lane.fair.pop()
            lane.fair.push(job.start_tag, job)

    def _remove_tasks(self, job: QueuedJob) -> list[WaitingTask]:
        tasks = list(job.tasks)
        self._adjust_counts(job, -len(tasks))
        job.tasks.clear()
        self._emptied_jobs += 1
        return tasks

    def _unlink_job(self, job_id: JobId, job: QueuedJob) -> None:
        queued = self._jobs.get(job_id)
        if queued is None:
            return
        queued.remove(job)
        if not queued:
            self._jobs.pop(job_id)

    def _adjust_counts(self, job: QueuedJob, tasks: int) -> None:
        self._tasks += tasks
        lane = self._lanes.get(job.lane)
        if lane is not None:
            lane.task_count += tasks

    def _compact_when_sparse(self) -> None:
        """Remove emptied jobs from the heaps once they outnumber the others.

        The cost is amortised over the preceding removals, so each cancelled
        job adds constant time.
        """
        if self._emptied_jobs <= len(self._jobs):
            return
        self._emptied_jobs = 0
        self._by_cutoff.compact()
        for lane in self._lanes.values():
            lane.fair.compact()
            lane.by_latest_start.compact()
