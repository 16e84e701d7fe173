"""Runs that are refused because another run of their task has not ended."""

from __future__ import annotations

import collections

import attrs

from borageward.messages.runs import RunOutcome, RunRef, TaskKey
from borageward.runs.sessions import Session


@attrs.frozen(slots=True)
class _RefusedRun:
    session: Session
    ref: RunRef


class PendingRefusals:
    """Refused runs whose entry may not start the task elsewhere yet.

    The other run belongs to a session of which that entry knows nothing.
    """

    def __init__(self) -> None:
        """Start without refused runs."""
        self._refused: dict[TaskKey, list[_RefusedRun]] = (
            collections.defaultdict(list)
        )

    def add(self, session: Session, ref: RunRef) -> None:
        """Add a run to be reported when the run of its task has ended."""
        self._refused[ref.task].append(_RefusedRun(session, ref))

    def of_session(self, session: Session) -> list[RunRef]:
        """Return the refused runs of a session that are not reported yet."""
        return [
            refused.ref
            for runs in self._refused.values()
            for refused in runs
            if refused.session is session
        ]

    def report(self, task: TaskKey) -> None:
        """Report the refused runs of a task whose run has ended."""
        for refused in self._refused.pop(task, ()):
            refused.session.add_end(
                refused.ref,
                RunOutcome.REFUSED,
                'task had another run',
            )
