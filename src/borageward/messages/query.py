"""JSON documents of ``POST /v1/query``, by which operators query entries."""

from __future__ import annotations

import enum

import msgspec

from borageward.failures import FailureReason


class JobState(enum.Enum):
    """State of a job as reported by an entry."""

    WAITING = 'waiting'
    RUNNING = 'running'
    REFUSED = 'refused'


class QueryRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request body.

    ``sentence`` is a sentence of the query language. ``limit`` is the maximum
    number of job rows and of worker rows.
    """

    sentence: str
    limit: int = 1000


class JobRow(msgspec.Struct, frozen=True):
    """One job of an entry.

    ``age_ms`` is the time since the job was admitted or refused. ``places``
    and ``workers`` are those that currently hold tasks of the job. ``reason``
    is set for refused jobs. ``tasks`` is the number of tasks, ``finished`` the
    number of those that have finished.
    """

    job_id: str
    service: str
    state: JobState
    age_ms: float
    kinds: tuple[str, ...] = ()
    places: tuple[str, ...] = ()
    workers: tuple[str, ...] = ()
    reason: FailureReason | None = None
    tasks: int = 1
    finished: int = 0


class WorkerRow(msgspec.Struct, frozen=True):
    """One guard as known to an entry.

    ``queued`` is the number of queued tasks. ``age_ms`` is the time since the
    guard last reported its load. ``ejected`` means that the entry avoids the
    worker because of its failures.
    """

    worker: str
    place: str
    service: str
    incarnation: int
    slots: int
    free_slots: int
    queued: int
    age_ms: float
    leaving: bool = False
    ejected: bool = False


class EntrySnapshot(msgspec.Struct, frozen=True):
    """Reply of one entry: its state at one moment.

    ``entry`` is the name of the entry and ``revision`` its configuration
    revision. ``omitted`` counts matching rows that were left out because of
    the request's limit. It also counts open jobs beyond the limit of tasks in
    a snapshot, whether or not they match.
    """

    entry: str
    place: str
    incarnation: int
    revision: int
    jobs: tuple[JobRow, ...] = ()
    workers: tuple[WorkerRow, ...] = ()
    omitted: int = 0
