"""Execution of queries over the snapshots of several entries."""

from __future__ import annotations

import operator
from collections.abc import Iterable, Mapping, Sequence

import attrs
import msgspec

from borageward.clock import Milliseconds
from borageward.failures import Failure
from borageward.language.answer import Answer, Source
from borageward.language.query import Query, QuerySource, Subject
from borageward.language.rows import (
    JOB_COLUMNS,
    WORKER_COLUMNS,
    job_cells,
    merge_jobs,
    merge_workers,
    worker_cells,
)
from borageward.messages.query import EntrySnapshot, JobRow, WorkerRow


@attrs.frozen(slots=True)
class EntryStatus:
    """Snapshot of one entry, or why there is none.

    ``age_ms`` is the time since the entry was asked.
    """

    name: str
    found: EntrySnapshot | Failure
    age_ms: Milliseconds = 0

    @property
    def source(self) -> Source:
        """Return how the answer names this entry."""
        if isinstance(self.found, Failure):
            return Source(self.name, self.age_ms, failure=self.found)
        return Source(self.name, self.age_ms, self.found.omitted)


def answer_from(
    query: Query,
    source: QuerySource,
    limit: int,
) -> EntrySnapshot:
    """Return the matching rows of one process, at most ``limit`` of a kind."""
    found = source.snapshot()
    jobs: list[JobRow] = []
    workers: list[WorkerRow] = []
    if query.subject is Subject.JOBS:
        jobs = [job for job in found.jobs if _matches_job(query, job)]
    if query.subject is Subject.WORKERS:
        workers = [row for row in found.workers if _matches_worker(query, row)]
    omitted = found.omitted
    omitted += max(0, len(jobs) - limit)
    omitted += max(0, len(workers) - limit)
    return msgspec.structs.replace(
        found,
        jobs=tuple(jobs[:limit]),
        workers=tuple(workers[:limit]),
        omitted=omitted,
    )


def run_query(query: Query, entries: Sequence[EntryStatus]) -> Answer:
    """Return the merged answer of several entries."""
    sources = tuple(entry.source for entry in entries)
    found = [
        entry.found for entry in entries if not isinstance(entry.found, Failure)
    ]
    if query.subject is Subject.WORKERS:
        workers = [
            worker_cells(seen)
            for seen in merge_workers(found)
            if _matches_worker(query, seen.row)
        ]
        return _answer(WORKER_COLUMNS, workers, sources)
    jobs = [
        job_cells(seen)
        for seen in merge_jobs(found)
        if _matches_job(query, seen.row)
    ]
    return _answer(JOB_COLUMNS, jobs, sources)


def _answer(
    columns: tuple[str, ...],
    cells: Iterable[Mapping[str, str]],
    sources: tuple[Source, ...],
) -> Answer:
    select = operator.itemgetter(*columns)
    return Answer(columns, tuple(map(select, cells)), sources)


def _matches_job(query: Query, job: JobRow) -> bool:
    checks = (
        query.state in {None, job.state},
        _allows(query.services, (job.service,)),
        _allows(query.kinds, job.kinds),
        _allows(query.places, job.places),
        _allows(query.workers, job.workers),
        not query.reasons or job.reason in query.reasons,
        job.age_ms >= query.older_than_ms,
    )
    return all(checks)


def _matches_worker(query: Query, row: WorkerRow) -> bool:
    return (
        _allows(query.services, (row.service,))
        and _allows(query.places, (row.place,))
        and _allows(query.workers, (row.worker,))
    )


def _allows(wanted: tuple[str, ...], found: tuple[str, ...]) -> bool:
    return not wanted or not set(wanted).isdisjoint(found)
