"""Tasks that wait for the backoff delay before a retry."""

from __future__ import annotations

import heapq
import itertools

from borageward.clock import Milliseconds
from borageward.identity import JobId
from borageward.policy.dispatch import WaitingTask


class DelayedTasks:
    """Priority queue of tasks by the monotonic time of their retry.

    Removed tasks stay in the heap until they reach its top.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._heap: list[tuple[Milliseconds, int, WaitingTask]] = []
        self._sequence = itertools.count()
        self._jobs: dict[JobId, dict[int, WaitingTask]] = {}
        self._task_count = 0

    @property
    def task_count(self) -> int:
        """Return the number of tasks that wait for a retry."""
        return self._task_count

    def push(self, due_ms: Milliseconds, task: WaitingTask) -> None:
        """Add a task whose retry is due at ``due_ms``."""
        heapq.heappush(self._heap, (due_ms, next(self._sequence), task))
        self._jobs.setdefault(task.job_id, {})[task.index] = task
        self._task_count += 1

    def next_ms(self) -> Milliseconds | None:
        """Return when the next task is due, or None if there is none."""
        self._drop_cancelled()
        return self._heap[0][0] if self._heap else None

    def due(self, now_ms: Milliseconds) -> list[WaitingTask]:
        """Remove and return the tasks that are due, earliest first."""
        found: list[WaitingTask] = []
        next_ms = self.next_ms()
        while next_ms is not None and next_ms <= now_ms:
            task = self._heap[0][-1]
            self._remove(task)
            found.append(task)
            next_ms = self.next_ms()
        return found

    def expired(self, now_ms: Milliseconds) -> list[WaitingTask]:
        """Remove and return the tasks whose deadline has passed."""
        found = [
            task
            for tasks in self._jobs.values()
            for task in tasks.values()
            if task.deadline_ms <= now_ms
        ]
        for task in found:
            self._remove(task)
        return found

    def cancel(self, job_id: JobId) -> list[WaitingTask]:
        """Remove and return the tasks of a job."""
        found = list(self._jobs.pop(job_id, {}).values())
        self._task_count -= len(found)
        return found

    def _remove(self, task: WaitingTask) -> None:
        tasks = self._jobs[task.job_id]
        tasks.pop(task.index)
        self._task_count -= 1
        if not tasks:
            self._jobs.pop(task.job_id)

    def _drop_cancelled(self) -> None:
        while self._heap:
            task = self._heap[0][-1]
            if self._is_waiting(task):
                break
            heapq.heappop(self._heap)

    def _is_waiting(self, task: WaitingTask) -> bool:
        return self._jobs.get(task.job_id, {}).get(task.index) is task
