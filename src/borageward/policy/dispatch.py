"""Interface of the decisions of an entry."""

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
    """What a job asks for, before it is claimed.

    ``kinds`` holds the kind of each task.
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
    the placements so far. ``excluded`` names workers not to be tried again.
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
    """Tasks to start at one worker now; of one job, so of one message."""

    worker: str
    job_id: JobId
    tasks: tuple[WaitingTask, ...]


class DispatchPolicy(Protocol):
    """Decides admission, order, placement and retries of an entry.

    The owner reports every event and then asks for ``assignments``.
    """

    def configure(self, configuration: Configuration, entries: int) -> None:
        """Use a configuration; quotas are split over the live entries."""

    def add_guard(
        self,
        worker: str,
        place: str,
        service: str,
        load: GuardLoad,
    ) -> None:
        """Start to place work at a worker whose guard is linked."""

    def remove_guard(self, worker: str) -> None:
        """Place no more work at a worker."""

    def load_reported(self, worker: str, load: GuardLoad) -> None:
        """Use a newer load of a worker."""

    def admit(self, need: JobNeed, now_ms: Milliseconds) -> Failure | None:
        """Return why a job is refused before its claim, or nothing."""

    def enqueue(
        self,
        tasks: Sequence[WaitingTask],
        now_ms: Milliseconds,
    ) -> None:
        """Add tasks of a claimed job to the queue."""

    def assignments(self, now_ms: Milliseconds) -> list[Assignment]:
        """Return what to start now; the tasks leave the queue."""

    def task_finished(
        self,
        worker: str,
        task: WaitingTask,
        run_ms: Milliseconds,
        failed: bool,
    ) -> None:
        """Learn from a task that ran at a worker."""

    def task_not_run(
        self,
        worker: str,
        task: WaitingTask,
        now_ms: Milliseconds,
    ) -> Failure | None:
        """Queue a task again that provably did not run at a worker.

        Returns the reason when it is not retried.
        """

    def task_lost(self, worker: str, task: WaitingTask) -> None:
        """Forget a task of which nobody knows whether it ran."""

    def cancel(self, job_id: JobId) -> list[WaitingTask]:
        """Remove the waiting tasks of a job, linear in their number."""

    def expired(self, now_ms: Milliseconds) -> list[WaitingTask]:
        """Remove and return waiting tasks that cannot meet the deadline."""

    def next_wake_ms(self, now_ms: Milliseconds) -> Milliseconds | None:
        """Return when to ask again without an event, or nothing."""
