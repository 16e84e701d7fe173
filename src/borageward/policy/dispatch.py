"""Interface between an entry and its dispatch policy."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import attrs

from borageward.clock import Milliseconds
from borageward.configuration import Configuration
from borageward.failures import Failure
from borageward.identity import JobId
from borageward.messages.guard import GuardLoad
from borageward.messages.task import RunClass


@attrs.frozen(slots=True)
class JobNeed:
    """Properties of a job that is to be admitted, before it is claimed.

    ``remaining_ms`` is the time left until its deadline. ``kinds`` holds the
    kind of each task.
    """

    job_id: JobId
    service: str
    urgent: bool
    remaining_ms: Milliseconds
    kinds: tuple[str, ...]


@attrs.define(slots=True, eq=False)
class WaitingTask:
    """Task of a claimed job that waits for placement.

    ``deadline_ms`` and ``enqueued_ms`` are monotonic times. ``attempt`` counts
    the placements so far. ``excluded`` names the workers where the task did
    not run; they are used again only if no other worker is available.
    ``expected_ms`` is the expected run time on a runner of speed 1.
    """

    job_id: JobId
    index: int
    service: str
    kind: str
    urgent: bool
    idempotent: bool
    deadline_ms: Milliseconds
    enqueued_ms: Milliseconds
    attempt: int = 0
    excluded: frozenset[str] = frozenset()
    expected_ms: Milliseconds = 0
    run_class: RunClass = RunClass.SHORT


@attrs.frozen(slots=True)
class Assignment:
    """Tasks of one job to start now at one worker, in a single message."""

    worker: str
    job_id: JobId
    tasks: tuple[WaitingTask, ...]


class DispatchPolicy(Protocol):
    """Decides the admission, order, placement and retries of an entry's tasks.

    The entry reports every event to the policy and then calls ``assignments``.
    All times are monotonic and in milliseconds.
    """

    def configure(self, configuration: Configuration, entries: int) -> None:
        """Apply a configuration; quotas are divided by the live entries."""

    def add_guard(
        self,
        worker: str,
        place: str,
        service: str,
        load: GuardLoad,
    ) -> None:
        """Add a worker whose guard is linked; it can get tasks from now on."""

    def remove_guard(self, worker: str) -> None:
        """Remove a worker; it gets no more tasks."""

    def load_reported(self, worker: str, load: GuardLoad) -> None:
        """Update the load of a worker from a report of its guard."""

    def admit(self, need: JobNeed, now_ms: Milliseconds) -> Failure | None:
        """Return the reason to refuse a job before it is claimed, or None."""

    def enqueue(
        self,
        tasks: Sequence[WaitingTask],
        now_ms: Milliseconds,
    ) -> None:
        """Add tasks of a claimed job to the queue."""

    def assignments(self, now_ms: Milliseconds) -> list[Assignment]:
        """Return the tasks to start now and remove them from the queue."""

    def task_finished(
        self,
        worker: str,
        task: WaitingTask,
        run_ms: Milliseconds,
        failed: bool,
    ) -> None:
        """Record that a task ran at a worker for ``run_ms``."""

    def task_not_run(
        self,
        worker: str,
        task: WaitingTask,
        now_ms: Milliseconds,
    ) -> Failure | None:
        """Retry a task that provably did not run at a worker.

        Returns the failure of the task if it is not retried, otherwise None.
        """

    def task_lost(self, worker: str, task: WaitingTask) -> None:
        """Release the slot of a task that may or may not have run."""

    def cancel(self, job_id: JobId) -> list[WaitingTask]:
        """Remove and return the waiting tasks of a job, in linear time."""

    def expired(self, now_ms: Milliseconds) -> list[WaitingTask]:
        """Remove and return waiting tasks that cannot meet their deadline."""

    def next_wake_ms(self, now_ms: Milliseconds) -> Milliseconds | None:
        """Return when to call the policy again without an event, or None."""
