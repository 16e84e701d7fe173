"""Interface to a platform that can preempt long-running tasks."""

from __future__ import annotations

from typing import Protocol

from borageward.policy.scheduler import GuardTask


class LongWorkPort(Protocol):
    """Preempts running tasks, for example by throttling or checkpoints.

    The slot scheduler calls it when a short task waits for a slot while long
    tasks hold more slots than they may.
    """

    def preempt(self, task: GuardTask) -> bool:
        """Make a task release its slot; return whether the platform could."""

    def resume(self, task: GuardTask) -> None:
        """Let a preempted task run in a slot again."""


class NoLongWorkPort:
    """Default without preemption: long tasks keep their slots."""

    def preempt(self, task: GuardTask) -> bool:
        """Return False: no task can be preempted."""
        return False

    def resume(self, task: GuardTask) -> None:
        """Do nothing: no task was preempted."""
