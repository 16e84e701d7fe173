"""Tasks that the guard accepted and that have not finished."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

import attrs

from borageward.guard.results import TaskKey
from borageward.identity import JobId
from borageward.messages.task import TaskPhase
from borageward.policy.scheduler import GuardTask

if TYPE_CHECKING:
    from borageward.guard.link import EntryLink


@attrs.define(slots=True, eq=False)
class AcceptedTask:
    """Task with its owner and the link that its result is sent on.

    ``owner`` is an entry incarnation. ``phase`` is ``QUEUED`` until the request
    to the runner is written, and ``NOT_RUN`` once the task was cancelled. A
    queued task occupies a slot, shown by ``holds_slot``, while it waits for a
    connection to the runner.
    """

    task: GuardTask
    owner: int
    attempt: int
    link: EntryLink
    phase: TaskPhase = TaskPhase.QUEUED
    holds_slot: bool = False

    @property
    def key(self) -> TaskKey:
        """Return the job and the index."""
        return self.task.job_id, self.task.index


class AcceptedTasks:
    """Accepted tasks by job and index, at most one for each."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._tasks: dict[TaskKey, AcceptedTask] = {}

    def __len__(self) -> int:
        """Return the number of accepted tasks that have not finished."""
        return len(self._tasks)

    def __iter__(self) -> Iterator[AcceptedTask]:
        """Iterate over a copy, so that tasks may be added and removed."""
        return iter(tuple(self._tasks.values()))

    def add(self, accepted: AcceptedTask) -> None:
        """Add a task, replacing one with the same job and index."""
        self._tasks[accepted.key] = accepted

    def find(self, key: TaskKey) -> AcceptedTask | None:
        """Return the task of a job and index, or ``None``."""
        return self._tasks.get(key)

    def remove(self, accepted: AcceptedTask) -> None:
        """Remove a task; does nothing when it is absent."""
        self._tasks.pop(accepted.key, None)

    def of_job(self, job_id: JobId) -> list[AcceptedTask]:
        """Return the tasks of a job."""
        return [
            accepted_task
            for accepted_task in self
            if accepted_task.task.job_id == job_id
        ]

    def queued(self) -> list[AcceptedTask]:
        """Return the tasks that have not started."""
        return [
            accepted_task
            for accepted_task in self
            if accepted_task.phase is TaskPhase.QUEUED
        ]
