"""The condition under which an entry may request starts."""

from __future__ import annotations

from typing import Protocol

from borageward.entry.job import Job


class Session(Protocol):
    """The membership of the entry, as far as starts depend on it."""

    @property
    def incarnation(self) -> int:
        """Return the incarnation in use, or zero without one."""

    @property
    def revision(self) -> int:
        """Return the revision of the configuration in use."""

    def lease_valid(self) -> bool:
        """Tell whether the revision was confirmed within the lease."""


class StartGate:
    """Checked after each wait and before each start is written."""

    def __init__(self, session: Session) -> None:
        """Prepare the gate of a session."""
        self._session = session

    @property
    def incarnation(self) -> int:
        """Return the incarnation in use, or zero without one."""
        return self._session.incarnation

    @property
    def revision(self) -> int:
        """Return the revision of the configuration in use."""
        return self._session.revision

    def is_open(self) -> bool:
        """Tell whether any job may start."""
        return self._session.lease_valid()

    def admits(self, job: Job) -> bool:
        """Tell whether tasks of a job may start now."""
        if job.close_reason is not None or job.owner == 0:
            return False
        return self.is_open() and job.owner == self._session.incarnation
