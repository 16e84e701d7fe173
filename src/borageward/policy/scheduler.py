"""Interface between a guard and the scheduler of its runner's slots."""

from __future__ import annotations

from typing import Protocol

import attrs

from borageward.clock import Milliseconds
from borageward.configuration import Limits
from borageward.failures import Failure
from borageward.identity import JobId
from borageward.messages.guard import GuardLoad
from borageward.messages.task import RunClass


@attrs.define(slots=True, eq=False)
class GuardTask:
    """Task that a guard accepted.

    ``expected_ms`` is the expected run time on a runner of speed 1.
    ``deadline_ms`` and ``started_ms`` are monotonic times.
    """

    job_id: JobId
    index: int
    service: str
    kind: str
    payload: bytes
    urgent: bool
    run_class: RunClass
    expected_ms: Milliseconds
    deadline_ms: Milliseconds
    started_ms: Milliseconds = 0


class SlotScheduler(Protocol):
    """Decides which accepted task gets the next slot of a runner."""

    def configure(self, limits: Limits) -> None:
        """Apply new limits; tasks that are already queued stay queued."""

    def offer(self, task: GuardTask, now_ms: Milliseconds) -> Failure | None:
        """Queue a task, or return the reason to refuse it."""

    def take(self, now_ms: Milliseconds) -> GuardTask | None:
        """Dequeue the next task and occupy a slot; None if none may start."""

    def expired(self, now_ms: Milliseconds) -> list[GuardTask]:
        """Remove and return queued tasks whose deadline has passed."""

    def release(self, task: GuardTask, run_ms: Milliseconds) -> None:
        """Free the slot of a task; ``run_ms`` is 0 if the task did not run."""

    def withdraw(self, job_id: JobId, index: int) -> GuardTask | None:
        """Remove and return a queued task, or None if it is not queued."""

    def load(self, leaving: bool) -> GuardLoad:
        """Return the load report; ``leaving`` is copied into it."""
