"""Rows of jobs and workers, merged over several entries."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from borageward.messages.query import EntrySnapshot, JobRow, JobState, WorkerRow

JOB_COLUMNS = (
    'job',
    'service',
    'state',
    'age_ms',
    'kinds',
    'places',
    'workers',
    'reason',
    'finished',
    'entry',
)
WORKER_COLUMNS = (
    'worker',
    'place',
    'service',
    'slots',
    'free',
    'queued',
    'state',
    'age_ms',
    'entry',
)
# A job that was forwarded shows at two entries; its owner knows most.
_STATE_RANK = (JobState.RUNNING, JobState.WAITING, JobState.REFUSED)


@attrs.frozen(slots=True)
class SeenJob:
    """Job with the entry that reported it."""

    entry: str
    row: JobRow

    @property
    def rank(self) -> int:
        """Return the order of preference among reports of one job."""
        return _STATE_RANK.index(self.row.state)


@attrs.frozen(slots=True)
class SeenWorker:
    """Worker with the entry that reported it."""

    entry: str
    row: WorkerRow

    @property
    def rank(self) -> tuple[int, float]:
        """Return the order of preference among reports of one worker."""
        return -self.row.incarnation, self.row.age_ms


def merge_jobs(snapshots: Iterable[EntrySnapshot]) -> list[SeenJob]:
    """Return each job once, the oldest first."""
    merged: dict[str, SeenJob] = {}
    for snapshot in snapshots:
        for row in snapshot.jobs:
            seen = SeenJob(snapshot.entry, row)
            known = merged.setdefault(row.job_id, seen)
            merged[row.job_id] = min(known, seen, key=_job_rank)
    return sorted(merged.values(), key=_job_order)


def merge_workers(snapshots: Iterable[EntrySnapshot]) -> list[SeenWorker]:
    """Return each worker once by its newest report, in order of places."""
    merged: dict[str, SeenWorker] = {}
    for snapshot in snapshots:
        for row in snapshot.workers:
            seen = SeenWorker(snapshot.entry, row)
            known = merged.setdefault(row.worker, seen)
            merged[row.worker] = min(known, seen, key=_worker_rank)
    return sorted(merged.values(), key=_worker_order)


def job_cells(seen: SeenJob) -> Mapping[str, str]:
    """Return the cells of a job by column."""
    job = seen.row
    return {
        'job': job.job_id,
        'service': job.service,
        'state': job.state.value,
        'age_ms': f'{job.age_ms:.0f}',
        'kinds': ','.join(job.kinds),
        'places': ','.join(job.places),
        'workers': ','.join(job.workers),
        'reason': job.reason.value if job.reason else '',
        'finished': f'{job.finished}/{job.tasks}',
        'entry': seen.entry,
    }


def worker_cells(seen: SeenWorker) -> Mapping[str, str]:
    """Return the cells of a worker by column."""
    row = seen.row
    state = 'ejected' if row.ejected else 'ready'
    return {
        'worker': row.worker,
        'place': row.place,
        'service': row.service,
        'slots': str(row.slots),
        'free': str(row.free_slots),
        'queued': str(row.queued),
        'state': 'leaving' if row.leaving else state,
        'age_ms': f'{row.age_ms:.0f}',
        'entry': seen.entry,
    }


def _job_rank(seen: SeenJob) -> int:
    return seen.rank


def _worker_rank(seen: SeenWorker) -> tuple[int, float]:
    return seen.rank


def _job_order(seen: SeenJob) -> tuple[float, str]:
    return -seen.row.age_ms, seen.row.job_id


def _worker_order(seen: SeenWorker) -> tuple[str, str]:
    return seen.row.place, seen.row.worker
