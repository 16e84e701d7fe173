"""Runs that are refused because another run of their task has not ended."""

from __future__ import annotations

import collections
from typing import TypeAlias

from borageward.messages.runs import RunRef, TaskKey

# The entry that ordered a run, and the run.
_Refused: TypeAlias = tuple[str, RunRef]


class PendingRefusals:
    """Refused runs whose entry may not start the task elsewhere yet.

    The other run belongs to a session of which that entry knows nothing. A
    refused run is known by its entry: the entry may open another session
    before it is reported.
    """

    def __init__(self) -> None:
        """Start without refused runs."""
        self._refused: dict[TaskKey, list[_Refused]] = collections.defaultdict(
            list,
        )

    def add(self, entry: str, ref: RunRef) -> None:
        """Add a run to be reported when the run of its task has ended."""
        self._refused[ref.task].append((entry, ref))

    def of_entry(self, entry: str) -> list[RunRef]:
        """Return the refused runs of an entry that are not reported yet."""
        return [
            ref
            for runs in self._refused.values()
            for name, ref in runs
            if name == entry
        ]

    def pop(self, task: TaskKey) -> list[_Refused]:
        """Return the refused runs of a task whose run has ended.

        Each comes with its entry; they are not kept any longer.
        """
        return self._refused.pop(task, [])
