"""Queue of a guard for one class and urgency, fair between jobs."""

from __future__ import annotations

import heapq
from collections import OrderedDict

import attrs

from borageward.clock import Milliseconds
from borageward.identity import JobId
from borageward.messages.task import RunClass
from borageward.policy.scheduler import GuardTask


@attrs.frozen(slots=True)
class QueueName:
    """What the tasks of one queue have in common."""

    urgent: bool
    run_class: RunClass


class GuardQueue:
    """Serves jobs in turn, one task each, in order of their arrival."""

    def __init__(self) -> None:
        """Start empty."""
        self._jobs: OrderedDict[JobId, OrderedDict[int, GuardTask]] = (
            OrderedDict()
        )
        self._deadlines: list[tuple[Milliseconds, JobId, int]] = []
        self._tasks = 0
        self._work_ms: Milliseconds = 0

    @property
    def task_count(self) -> int:
        """Return the number of queued tasks."""
        return self._tasks

    @property
    def work_ms(self) -> Milliseconds:
        """Return the expected run time of the queued tasks."""
        return max(0, self._work_ms)

    def push(self, task: GuardTask) -> None:
        """Add a task behind those of its job."""
        tasks = self._jobs.setdefault(task.job_id, OrderedDict())
        tasks[task.index] = task
        entry = (task.deadline_ms, task.job_id, task.index)
        heapq.heappush(self._deadlines, entry)
        self._count(1, task)

    def take(self) -> GuardTask | None:
        """Remove and return the next task; its job moves to the end."""
        if not self._jobs:
            return None
        job_id, tasks = next(iter(self._jobs.items()))
        _, task = tasks.popitem(last=False)
        self._count(-1, task)
        self._jobs.move_to_end(job_id)
        self._drop_empty(job_id)
        return task

    def remove(self, job_id: JobId, index: int) -> GuardTask | None:
        """Remove and return one task, or nothing."""
        task = self._jobs.get(job_id, OrderedDict()).pop(index, None)
        if task is not None:
            self._count(-1, task)
            self._drop_empty(job_id)
        return task

    def expired(self, now_ms: Milliseconds) -> list[GuardTask]:
        """Remove and return the tasks whose deadline has passed."""
        removed: list[GuardTask] = []
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            _, job_id, index = heapq.heappop(self._deadlines)
            task = self.remove(job_id, index)
            if task is not None:
                removed.append(task)
        return removed

    def _count(self, change: int, task: GuardTask) -> None:
        self._tasks += change
        self._work_ms += change * task.expected_ms
        if not self._tasks:
            # Entries of tasks that were taken before are of no more use.
            self._deadlines.clear()
            self._work_ms = 0

    def _drop_empty(self, job_id: JobId) -> None:
        if not self._jobs[job_id]:
            self._jobs.pop(job_id)
