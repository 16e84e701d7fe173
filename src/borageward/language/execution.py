"""Execution of queries for jobs and workers.

Each entry selects its own matching rows; the client merges the replies.
"""

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
    """Reply of one entry to a query: its snapshot, or a failure.

    ``age_ms`` is the time since the request was sent.
    """

    name: str
    reply: EntrySnapshot | Failure
    age_ms: Milliseconds = 0

    @property
    def source(self) -> Source:
        """Return the entry as a source of the answer."""
        if isinstance(self.reply, Failure):
            return Source(self.name, self.age_ms, failure=self.reply)
        return Source(self.name, self.age_ms, self.reply.omitted)


def answer_entry_query(
    query: Query,
    source: QuerySource,
    limit: int,
) -> EntrySnapshot:
    """Return a snapshot of one entry, reduced to the matching rows.

    At most ``limit`` rows are returned; the others are counted in ``omitted``
    of the snapshot.
    """
    full_snapshot = source.snapshot()
    jobs: list[JobRow] = []
    workers: list[WorkerRow] = []
    if query.subject is Subject.JOBS:
        jobs = [job for job in full_snapshot.jobs if _matches_job(query, job)]
    if query.subject is Subject.WORKERS:
        workers = [
            row for row in full_snapshot.workers if _matches_worker(query, row)
        ]
    omitted = full_snapshot.omitted
    omitted += max(0, len(jobs) - limit)
    omitted += max(0, len(workers) - limit)
    return msgspec.structs.replace(
        full_snapshot,
        jobs=tuple(jobs[:limit]),
        workers=tuple(workers[:limit]),
        omitted=omitted,
    )


def run_query(query: Query, entries: Sequence[EntryStatus]) -> Answer:
    """Return the answer merged from the replies of several entries.

    Rows are filtered again after the merge: two entries may report one job in
    different states, of which only the preferred one counts.
    """
    sources = tuple(entry.source for entry in entries)
    snapshots = [
        entry.reply for entry in entries if not isinstance(entry.reply, Failure)
    ]
    if query.subject is Subject.WORKERS:
        workers = [
            worker_cells(report)
            for report in merge_workers(snapshots)
            if _matches_worker(query, report.row)
        ]
        return _build_answer(WORKER_COLUMNS, workers, sources)
    jobs = [
        job_cells(report)
        for report in merge_jobs(snapshots)
        if _matches_job(query, report.row)
    ]
    return _build_answer(JOB_COLUMNS, jobs, sources)


def _build_answer(
    columns: tuple[str, ...],
    cells: Iterable[Mapping[str, str]],
    sources: tuple[Source, ...],
) -> Answer:
    select = operator.itemgetter(*columns)
    return Answer(columns, tuple(map(select, cells)), sources)


def _matches_job(query: Query, job: JobRow) -> bool:
    checks = (
        query.state in {None, job.state},
        _matches_any(query.services, (job.service,)),
        _matches_any(query.kinds, job.kinds),
        _matches_any(query.places, job.places),
        _matches_any(query.workers, job.workers),
        not query.reasons or job.reason in query.reasons,
        job.age_ms >= query.older_than_ms,
    )
    return all(checks)


def _matches_worker(query: Query, row: WorkerRow) -> bool:
    return (
        _matches_any(query.services, (row.service,))
        and _matches_any(query.places, (row.place,))
        and _matches_any(query.workers, (row.worker,))
    )


def _matches_any(accepted: tuple[str, ...], actual: tuple[str, ...]) -> bool:
    return not accepted or not set(accepted).isdisjoint(actual)
