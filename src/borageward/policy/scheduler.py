"""Interface of the decisions of a guard."""

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

    ``deadline_ms`` is a monotonic time.
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
        """Use new limits."""

    def offer(self, task: GuardTask, now_ms: Milliseconds) -> Failure | None:
        """Queue a task, or return why it is refused."""

    def take(self, now_ms: Milliseconds) -> GuardTask | None:
        """Return the task to start now and occupy a slot, or nothing."""

    def expired(self, now_ms: Milliseconds) -> list[GuardTask]:
        """Remove and return queued tasks whose deadline has passed."""

    def release(self, task: GuardTask, run_ms: Milliseconds) -> None:
        """Free the slot of a task that ran."""

    def withdraw(self, job_id: JobId, index: int) -> GuardTask | None:
        """Remove a queued task; nothing when it is not queued."""

    def load(self, leaving: bool) -> GuardLoad:
        """Return the load to report."""
