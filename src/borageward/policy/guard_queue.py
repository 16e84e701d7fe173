"""Queue of a guard for tasks of one urgency and run class."""

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
    """Urgency and run class shared by all tasks of a queue."""

    urgent: bool
    run_class: RunClass


class GuardQueue:
    """Serves jobs round robin, so that a large job cannot block others.

    Tasks are taken one at a time from each job, in the order of their addition.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._jobs: OrderedDict[JobId, OrderedDict[int, GuardTask]] = (
            OrderedDict()
        )
        self._deadlines: list[tuple[Milliseconds, JobId, int]] = []
        self._task_count = 0
        self._work_ms: Milliseconds = 0

    @property
    def task_count(self) -> int:
        """Return the number of queued tasks."""
        return self._task_count

    @property
    def work_ms(self) -> Milliseconds:
        """Return the sum of the expected run times of the queued tasks."""
        return max(0, self._work_ms)

    def push(self, task: GuardTask) -> None:
        """Add a task after the other tasks of its job."""
        tasks = self._jobs.setdefault(task.job_id, OrderedDict())
        tasks[task.index] = task
        entry = (task.deadline_ms, task.job_id, task.index)
        heapq.heappush(self._deadlines, entry)
        self._update_totals(1, task)

    def take(self) -> GuardTask | None:
        """Remove and return the next task, or None if the queue is empty.

        The job of the task moves behind all other jobs.
        """
        if not self._jobs:
            return None
        job_id, tasks = next(iter(self._jobs.items()))
        _, task = tasks.popitem(last=False)
        self._update_totals(-1, task)
        self._jobs.move_to_end(job_id)
        self._drop_empty(job_id)
        return task

    def remove(self, job_id: JobId, index: int) -> GuardTask | None:
        """Remove and return a task, or None if it is not in the queue."""
        task = self._jobs.get(job_id, OrderedDict()).pop(index, None)
        if task is not None:
            self._update_totals(-1, task)
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

    def _update_totals(self, change: int, task: GuardTask) -> None:
        self._task_count += change
        self._work_ms += change * task.expected_ms
        if not self._task_count:
            # Taken and removed tasks leave their deadlines in the heap.
            self._deadlines.clear()
            self._work_ms = 0

    def _drop_empty(self, job_id: JobId) -> None:
        if not self._jobs[job_id]:
            self._jobs.pop(job_id)
