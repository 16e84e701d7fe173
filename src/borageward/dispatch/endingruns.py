"""Runs of ended jobs whose own end has not been reported yet."""

from __future__ import annotations

from borageward.messages.runs import RunRef, TaskKey


class EndingRuns:
    """Runs that were told to stop when their job ended at this entry.

    A job that is submitted again while they may be at work must not start the
    same tasks a second time.
    """

    def __init__(self) -> None:
        """Start without runs."""
        self._runs: dict[TaskKey, tuple[str, RunRef]] = {}

    def __contains__(self, task: TaskKey) -> bool:
        """Return whether a run of a task may still be at work."""
        return task in self._runs

    def add(self, guard: str, ref: RunRef) -> None:
        """Add a run at a guard that was told to stop."""
        self._runs[ref.task] = (guard, ref)

    def last_run(self, task: TaskKey) -> int:
        """Return the run number of a task, or zero if none is ending."""
        ending = self._runs.get(task)
        return 0 if ending is None else ending[1].run

    def handle_end(self, guard: str, ref: RunRef) -> bool:
        """Remove a run that has ended; return false if it is not known."""
        if self._runs.get(ref.task) != (guard, ref):
            return False
        self._runs.pop(ref.task)
        return True
