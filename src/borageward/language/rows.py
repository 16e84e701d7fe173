"""Rows of jobs and workers, merged from the reports of several entries."""

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
# States in order of preference among reports of one job. A forwarded job is
# reported by two entries, of which its owner has the current state.
_STATE_RANK = (JobState.RUNNING, JobState.WAITING, JobState.REFUSED)


@attrs.frozen(slots=True)
class ReportedJob:
    """Job row and the name of the entry that reported it."""

    entry: str
    row: JobRow

    @property
    def rank(self) -> int:
        """Return the rank among reports of one job; the lowest is preferred."""
        return _STATE_RANK.index(self.row.state)


@attrs.frozen(slots=True)
class ReportedWorker:
    """Worker row and the name of the entry that reported it."""

    entry: str
    row: WorkerRow

    @property
    def rank(self) -> tuple[int, float]:
        """Return the rank among reports of one worker; the lowest is preferred.

        The newest incarnation is preferred, then the newest load report.
        """
        return -self.row.incarnation, self.row.age_ms


def merge_jobs(snapshots: Iterable[EntrySnapshot]) -> list[ReportedJob]:
    """Return each job once by its preferred report, the oldest job first."""
    merged: dict[str, ReportedJob] = {}
    for snapshot in snapshots:
        for row in snapshot.jobs:
            report = ReportedJob(snapshot.entry, row)
            previous = merged.setdefault(row.job_id, report)
            merged[row.job_id] = min(previous, report, key=_job_rank)
    return sorted(merged.values(), key=_job_order)


def merge_workers(snapshots: Iterable[EntrySnapshot]) -> list[ReportedWorker]:
    """Return each worker once by its newest report, sorted by place."""
    merged: dict[str, ReportedWorker] = {}
    for snapshot in snapshots:
        for row in snapshot.workers:
            report = ReportedWorker(snapshot.entry, row)
            previous = merged.setdefault(row.worker, report)
            merged[row.worker] = min(previous, report, key=_worker_rank)
    return sorted(merged.values(), key=_worker_order)


def job_cells(report: ReportedJob) -> Mapping[str, str]:
    """Return the cells of a job row by column name."""
    job = report.row
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
        'entry': report.entry,
    }


def worker_cells(report: ReportedWorker) -> Mapping[str, str]:
    """Return the cells of a worker row by column name."""
    row = report.row
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
        'entry': report.entry,
    }


def _job_rank(report: ReportedJob) -> int:
    return report.rank


def _worker_rank(report: ReportedWorker) -> tuple[int, float]:
    return report.rank


def _job_order(report: ReportedJob) -> tuple[float, str]:
    return -report.row.age_ms, report.row.job_id


def _worker_order(report: ReportedWorker) -> tuple[str, str]:
    return report.row.place, report.row.worker
