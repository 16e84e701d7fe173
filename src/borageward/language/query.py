"""Types of queries and commands, and the interface of their source."""

from __future__ import annotations

import enum
from typing import Protocol, TypeAlias

import attrs

from borageward.clock import Milliseconds
from borageward.failures import FailureReason
from borageward.messages.configuration import ConfigurationChange
from borageward.messages.query import EntrySnapshot, JobState


class Subject(enum.Enum):
    """Kind of rows that a query shows."""

    JOBS = 'jobs'
    WORKERS = 'workers'
    MEMBERS = 'members'
    CONFIGURATION = 'configuration'
    SERVICES = 'services'
    POLICIES = 'policies'
    LIMITS = 'limits'

    @property
    def from_entries(self) -> bool:
        """Return whether entries answer queries for it.

        Control answers the queries for all other subjects.
        """
        return self in {Subject.JOBS, Subject.WORKERS}


@attrs.frozen(slots=True)
class Query:
    """Query for the rows of a subject that match all conditions.

    An empty tuple of a condition matches every row, and so does the state
    ``None``. ``older_than_ms`` is the minimum age of a job.
    """

    subject: Subject
    state: JobState | None = None
    services: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    places: tuple[str, ...] = ()
    workers: tuple[str, ...] = ()
    reasons: tuple[FailureReason, ...] = ()
    older_than_ms: Milliseconds = 0


@attrs.frozen(slots=True)
class CancelJob:
    """Command that cancels a job; ``job_id`` is the text form of its id."""

    job_id: str


Sentence: TypeAlias = Query | CancelJob | ConfigurationChange


class QuerySource(Protocol):
    """Source of the jobs and workers that a process knows."""

    def snapshot(self) -> EntrySnapshot:
        """Return the jobs and workers known at this moment."""
