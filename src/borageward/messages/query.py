"""Messages of ``POST /v1/query`` between operators and entries, as JSON."""

from __future__ import annotations

import enum

import msgspec

from borageward.failures import FailureReason


class JobState(enum.Enum):
    """State of a job as its entry reports it."""

    WAITING = 'waiting'
    RUNNING = 'running'
    REFUSED = 'refused'


class QueryRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Sentence of the query language; ``limit`` bounds the rows of a kind."""

    sentence: str
    limit: int = 1000


class JobRow(msgspec.Struct, frozen=True):
    """One job of an entry.

    ``age_ms`` counts from the admission or the refusal of the job. Places and
    workers are those that hold tasks of the job now. A refused job has the
    reason of its refusal.
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
    """One guard as an entry sees it; ``age_ms`` is the age of its load."""

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
    """What one entry knows at one moment.

    ``omitted`` counts rows that matched but were left out by the limit.
    """

    entry: str
    place: str
    incarnation: int
    revision: int
    jobs: tuple[JobRow, ...] = ()
    workers: tuple[WorkerRow, ...] = ()
    omitted: int = 0
