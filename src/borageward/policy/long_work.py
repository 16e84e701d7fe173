"""Port to a platform that can move long work out of the way."""

from __future__ import annotations

from typing import Protocol

from borageward.policy.scheduler import GuardTask


class LongWorkPort(Protocol):
    """Throttles or checkpoints a running task; the guard does the calls."""

    def move_aside(self, task: GuardTask) -> bool:
        """Let a task release its slot; false when the platform cannot."""

    def bring_back(self, task: GuardTask) -> None:
        """Let a task that was moved aside run in a slot again."""


class NoLongWorkPort:
    """Default without such a platform: long work keeps its slot."""

    def move_aside(self, task: GuardTask) -> bool:
        """Return false."""
        return False

    def bring_back(self, task: GuardTask) -> None:
        """Do nothing; no task was moved."""
