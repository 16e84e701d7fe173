"""Queue of waiting tasks: fair between the jobs of a service.

Tasks of one service, kind and urgency form a lane, because they may run at
the same workers. A lane serves its jobs in turn, one task each; a job whose
latest start has come is served before the others.
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
    """What tasks of one lane have in common."""

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

    ``tag`` is the virtual time of its next task, ``latest_start_ms`` the time
    from which it is served first, ``cutoff_ms`` the time from which it cannot
    meet its deadline.
    """

    lane: LaneKey
    tasks: deque[WaitingTask]
    tag: float
    latest_start_ms: Milliseconds
    cutoff_ms: Milliseconds


class JobHeap:
    """Jobs ordered by a key; emptied jobs are dropped when met."""

    def __init__(self) -> None:
        """Start empty."""
        self._heap: list[tuple[float, int, QueuedJob]] = []
        self._numbers = itertools.count()

    @property
    def is_empty(self) -> bool:
        """Tell whether no entry is left, not even of an emptied job."""
        return not self._heap

    def jobs(self) -> Iterable[QueuedJob]:
        """Yield the jobs that have tasks, in no order."""
        return (job for _, _, job in self._heap if job.tasks)

    def push(self, key: float, job: QueuedJob) -> None:
        """Add a job."""
        heapq.heappush(self._heap, (key, next(self._numbers), job))

    def first(self) -> tuple[float, QueuedJob] | None:
        """Return the first job that has tasks, or nothing."""
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
        """Drop the entries of all emptied jobs."""
        self._heap = [entry for entry in self._heap if entry[-1].tasks]
        heapq.heapify(self._heap)


class _Lane:
    """Jobs of one lane in fair order and by latest start."""

    def __init__(self) -> None:
        """Start empty."""
        self.fair = JobHeap()
        self.by_latest_start = JobHeap()
        self.virtual_time: float = 0
        self.task_count = 0
        self.run_class = RunClass.SHORT

    def order(self, now_ms: Milliseconds) -> tuple[bool, float] | None:
        """Return a sort key of the next job: jobs at their limit first."""
        critical = self.by_latest_start.first()
        if critical is not None and critical[0] <= now_ms:
            return False, critical[0]
        fair = self.fair.first()
        return None if fair is None else (True, fair[0])

    def first(self, now_ms: Milliseconds) -> QueuedJob | None:
        """Return the job to serve next."""
        critical = self.by_latest_start.first()
        if critical is not None and critical[0] <= now_ms:
            return critical[1]
        fair = self.fair.first()
        return None if fair is None else fair[1]

    def work_ahead_ms(self, tasks: int) -> Milliseconds:
        """Return the work of at most a number of tasks of each job."""
        return sum(
            min(tasks, len(job.tasks)) * job.tasks[0].expected_ms
            for job in self.fair.jobs()
        )


class JobQueue:
    """Waiting tasks by lane, with cancellation linear in what it removes."""

    def __init__(self) -> None:
        """Start empty."""
        self._lanes: dict[LaneKey, _Lane] = {}
        self._jobs: dict[JobId, list[QueuedJob]] = {}
        self._by_cutoff = JobHeap()
        self._tasks = 0
        self._removed = 0

    @property
    def task_count(self) -> int:
        """Return the number of waiting tasks."""
        return self._tasks

    @property
    def lanes(self) -> Iterable[LaneKey]:
        """Return the lanes that may hold tasks."""
        return tuple(self._lanes)

    def services(self) -> set[str]:
        """Return the services with waiting tasks."""
        return {lane.service for lane in self._lanes}

    def push(
        self,
        tasks: Sequence[WaitingTask],
        latest_start_ms: Milliseconds,
        cutoff_ms: Milliseconds,
    ) -> None:
        """Add tasks of one job that share a lane."""
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
        lane.fair.push(job.tag, job)
        lane.by_latest_start.push(latest_start_ms, job)
        self._by_cutoff.push(cutoff_ms, job)
        self._jobs.setdefault(first.job_id, []).append(job)
        self._count(job, len(job.tasks))

    def first(self, key: LaneKey, now_ms: Milliseconds) -> WaitingTask | None:
        """Return the next task of a lane; an empty lane is dropped."""
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
        """Return the sort key of a lane; an empty lane is dropped."""
        found = self._lanes[key].order(now_ms)
        if found is None:
            self._lanes.pop(key)
        return found

    def waiting(self, run_class: RunClass, lanes: Iterable[LaneKey]) -> int:
        """Return the number of tasks of a class that wait in some lanes."""
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
        """Return the work of a class that is served before a new job.

        Jobs of a lane are served in turn, so a waiting job is ahead with at
        most as many tasks as the new one has.
        """
        ahead_ms: Milliseconds = 0
        for key, lane in self._lanes.items():
            same = key.service == need.service and lane.run_class is run_class
            if same and key.urgent >= need.urgent:
                ahead_ms += lane.work_ahead_ms(len(need.kinds))
        return ahead_ms

    def take(self, key: LaneKey, now_ms: Milliseconds) -> WaitingTask:
        """Remove and return the next task of a lane that has one."""
        lane = self._lanes[key]
        job = lane.first(now_ms)
        assert job is not None
        task = job.tasks.popleft()
        self._count(job, -1)
        self._advance(lane, job)
        if not job.tasks:
            self._forget(task.job_id, job)
        return task

    def cancel(self, job_id: JobId) -> list[WaitingTask]:
        """Remove and return the waiting tasks of a job."""
        removed: list[WaitingTask] = []
        for job in self._jobs.pop(job_id, ()):
            removed.extend(self._empty(job))
        self._compact_when_sparse()
        return removed

    def expired(self, now_ms: Milliseconds) -> list[WaitingTask]:
        """Remove and return tasks whose cutoff has passed."""
        removed: list[WaitingTask] = []
        first = self._by_cutoff.first()
        while first is not None and first[0] <= now_ms:
            job = first[1]
            self._forget(job.tasks[0].job_id, job)
            removed.extend(self._empty(job))
            first = self._by_cutoff.first()
        return removed

    def next_cutoff_ms(self) -> Milliseconds | None:
        """Return the first cutoff of the waiting jobs."""
        first = self._by_cutoff.first()
        return None if first is None else first[0]

    def _advance(self, lane: _Lane, job: QueuedJob) -> None:
        """Move a job behind the others that wait in its lane."""
        fair = lane.fair.first()
        lane.virtual_time = max(lane.virtual_time, job.tag)
        job.tag += 1
        if fair is not None and fair[1] is job:
            lane.fair.pop()
            lane.fair.push(job.tag, job)

    def _empty(self, job: QueuedJob) -> list[WaitingTask]:
        tasks = list(job.tasks)
        self._count(job, -len(tasks))
        job.tasks.clear()
        self._removed += 1
        return tasks

    def _forget(self, job_id: JobId, job: QueuedJob) -> None:
        parts = self._jobs.get(job_id)
        if parts is None:
            return
        parts.remove(job)
        if not parts:
            self._jobs.pop(job_id)

    def _count(self, job: QueuedJob, tasks: int) -> None:
        self._tasks += tasks
        lane = self._lanes.get(job.lane)
        if lane is not None:
            lane.task_count += tasks

    def _compact_when_sparse(self) -> None:
        """Drop emptied jobs once they outnumber the waiting ones.

        The cost is shared by the removals that came before, so the time for
        each cancelled job stays constant.
        """
        if self._removed <= len(self._jobs):
            return
        self._removed = 0
        self._by_cutoff.compact()
        for lane in self._lanes.values():
            lane.fair.compact()
            lane.by_latest_start.compact()
