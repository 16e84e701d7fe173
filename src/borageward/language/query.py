"""Typed form of queries and commands."""

from __future__ import annotations

import enum
from typing import Protocol, TypeAlias

import attrs

from borageward.clock import Milliseconds
from borageward.failures import FailureReason
from borageward.messages.configuration import ConfigurationChange
from borageward.messages.query import EntrySnapshot, JobState


class Subject(enum.Enum):
    """What a query shows."""

    JOBS = 'jobs'
    WORKERS = 'workers'
    MEMBERS = 'members'
    CONFIGURATION = 'configuration'
    SERVICES = 'services'
    POLICIES = 'policies'
    LIMITS = 'limits'

    @property
    def from_entries(self) -> bool:
        """Tell whether entries answer; control answers the others."""
        return self in {Subject.JOBS, Subject.WORKERS}


@attrs.frozen(slots=True)
class Query:
    """Rows to show; an empty tuple does not restrict."""

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
    """Cancel one job, named by the text form of its id."""

    job_id: str


Sentence: TypeAlias = Query | CancelJob | ConfigurationChange


class QuerySource(Protocol):
    """Process that reports its jobs and workers."""

    def snapshot(self) -> EntrySnapshot:
        """Return everything that the process knows at this moment."""
