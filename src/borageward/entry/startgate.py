"""Check of the conditions under which an entry may start tasks."""

from __future__ import annotations

from typing import Protocol

from borageward.entry.job import Job


class Session(Protocol):
    """Part of the membership session on which starts depend."""

    @property
    def incarnation(self) -> int:
        """Return the current incarnation, or zero without one."""

    @property
    def revision(self) -> int:
        """Return the revision of the configuration in use."""

    def lease_valid(self) -> bool:
        """Return whether control confirmed the revision within the lease."""


class StartGate:
    """Decides whether the entry may start tasks at this moment.

    Must be checked after each wait and before each start is written.
    """

    def __init__(self, session: Session) -> None:
        """Create a gate that reads the state of a session."""
        self._session = session

    @property
    def incarnation(self) -> int:
        """Return the current incarnation, or zero without one."""
        return self._session.incarnation

    @property
    def revision(self) -> int:
        """Return the revision of the configuration in use."""
        return self._session.revision

    def is_open(self) -> bool:
        """Return whether the configuration lease allows starts."""
        return self._session.lease_valid()

    def admits(self, job: Job) -> bool:
        """Return whether tasks of a job may start now.

        The job must not be closed, and the current incarnation must own it.
        """
        if job.close_reason is not None or job.owner == 0:
            return False
        return self.is_open() and job.owner == self._session.incarnation
