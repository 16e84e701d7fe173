"""Detection of workers that fail far more tasks than their peers.

Such a worker is ejected: it gets no tasks except occasional probes until
several probes in a row have succeeded.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Collection
from typing import Protocol

import attrs

from borageward.clock import Milliseconds
from borageward.configuration import Limits
from borageward.identity import JobId
from borageward.policy.job_failures import JobFailures

# Failures in a row after which a worker gets only probes.
_SUSPECT_STREAK = 3
# Failures in a row after which a worker is ejected without a full window. At
# 5% background failures and 200 starts a second, chance produces such a streak
# less than once in 1000 worker-days.
_EJECT_STREAK = 8
# Failures of fewer jobs may be due to the jobs instead of the worker.
_MIN_DISTINCT_JOBS = 3
# Least difference between a worker's failure share and that of its peers.
_MIN_PEER_EXCESS = 0.3
_FIRST_PROBE_INTERVAL_MS = 50.0
_PROBES_TO_RECOVER = 3
_MAX_DOUBLINGS = 6
_MAX_PROBE_INTERVAL_MS = 60_000.0


class OutlierDetector(Protocol):
    """Decides which workers get no tasks because they fail too many of them."""

    @property
    def ejection_count(self) -> int:
        """Return the number of ejections so far."""

    def configure(self, limits: Limits) -> None:
        """Apply changed limits."""

    def record(
        self,
        worker: str,
        job_id: JobId,
        failed: bool,
        now_ms: Milliseconds,
    ) -> None:
        """Record the outcome of one task."""

    def sent(self, worker: str, now_ms: Milliseconds) -> None:
        """Record that a task was sent to a worker."""

    def blocked(
        self,
        workers: Collection[str],
        in_flight: dict[str, int],
        now_ms: Milliseconds,
    ) -> set[str]:
        """Return the workers to which no task may be sent now.

        ``in_flight`` holds the number of unfinished tasks by worker.
        """

    def forget(self, worker: str) -> None:
        """Remove the record of a worker that is no longer linked."""


@attrs.define(slots=True, eq=False)
class WorkerRecord:
    """Recent outcomes of a worker, newest last, and its ejection state.

    Failures that other workers also had with the same job are left out of
    ``failure_streak``, ``failures`` and ``failed_jobs``. ``next_probe_ms`` is
    the time from which a suspect or ejected worker may get its next task.
    """

    outcomes: deque[tuple[JobId, bool]]
    failure_streak: int = 0
    failures: int = 0
    failed_jobs: int = 0
    ejected: bool = False
    ejections: int = 0
    good_probes: int = 0
    interval_ms: Milliseconds = 0
    next_probe_ms: Milliseconds = 0

    @property
    def is_limited(self) -> bool:
        """Return whether the worker gets only probes."""
        return self.ejected or self.failure_streak >= _SUSPECT_STREAK


class PeerOutlierDetector:
    """Compares each worker with its peers over a window of outcomes."""

    def __init__(self, source: random.Random, limits: Limits) -> None:
        """Create a detector that draws jitter from a seeded source."""
        self._source = source
        self._limits = limits
        self._records: dict[str, WorkerRecord] = {}
        self._job_failures = JobFailures()
        self._ejection_count = 0

    @property
    def ejection_count(self) -> int:
        """Return the number of ejections so far."""
        return self._ejection_count

    def configure(self, limits: Limits) -> None:
        """Apply changed limits; a new window size clears all records."""
        if limits.outlier_window != self._limits.outlier_window:
            self._records.clear()
        self._limits = limits

    def is_ejected(self, worker: str) -> bool:
        """Return whether a worker is ejected."""
        record = self._records.get(worker)
        return record is not None and record.ejected

    def record(
        self,
        worker: str,
        job_id: JobId,
        failed: bool,
        now_ms: Milliseconds,
    ) -> None:
        """Record the outcome of one task and update the worker's state."""
        self._job_failures.record(worker, job_id, failed)
        record = self._record_of(worker)
        record.outcomes.append((job_id, failed))
        if failed:
            self._record_failure(worker, record, now_ms)
        else:
            self._record_success(record)

    def sent(self, worker: str, now_ms: Milliseconds) -> None:
        """Schedule the next probe of a worker that gets only probes."""
        record = self._records.get(worker)
        if record is not None and record.is_limited:
            jitter = self._source.uniform(0.5, 1)
            record.next_probe_ms = now_ms + jitter * record.interval_ms

    def blocked(
        self,
        workers: Collection[str],
        in_flight: dict[str, int],
        now_ms: Milliseconds,
    ) -> set[str]:
        """Return the workers whose next probe is not due yet.

        At most ``max_ejected_share`` of the workers is blocked, ejected ones
        and those with the longest failure streaks first.
        """
        limited = [
            name
            for name in workers
            if name in self._records and self._records[name].is_limited
        ]
        limited.sort(key=self._severity, reverse=True)
        allowed = int(len(workers) * self._limits.max_ejected_share)
        return {
            name
            for name in limited[:allowed]
            if in_flight.get(name) or self._records[name].next_probe_ms > now_ms
        }

    def forget(self, worker: str) -> None:
        """Remove the record of a worker that is no longer linked."""
        self._records.pop(worker, None)

    def _record_of(self, worker: str) -> WorkerRecord:
        found = self._records.get(worker)
        if found is None:
            size = max(_EJECT_STREAK, self._limits.outlier_window)
            found = WorkerRecord(deque(maxlen=size))
            self._records[worker] = found
        return found

    def _severity(self, worker: str) -> tuple[bool, int]:
        record = self._records[worker]
        return record.ejected, record.failure_streak

    def _record_failure(
        self,
        worker: str,
        record: WorkerRecord,
        now_ms: Milliseconds,
    ) -> None:
        self._count_failures(worker, record)
        record.good_probes = 0
        if record.ejected:
            self._double_interval(
                record,
                self._limits.outlier_probe_interval_ms,
            )
        elif self._is_outlier(worker, record):
            self._eject(record)
        elif record.is_limited:
            self._double_interval(record, _FIRST_PROBE_INTERVAL_MS)
        if record.is_limited:
            jitter = self._source.uniform(0.5, 1)
            record.next_probe_ms = now_ms + jitter * record.interval_ms

    def _record_success(self, record: WorkerRecord) -> None:
        """Reset a suspect, or count a good probe of an ejected worker."""
        record.failure_streak = 0
        if not record.ejected:
            record.interval_ms = 0
            return
        record.good_probes += 1
        if record.good_probes >= _PROBES_TO_RECOVER:
            record.ejected = False
            record.interval_ms = 0
            record.outcomes.clear()

    def _eject(self, record: WorkerRecord) -> None:
        """Eject a worker, with longer probe intervals after each ejection."""
        self._ejection_count += 1
        least_ms = self._limits.outlier_probe_interval_ms
        lengthened_ms = least_ms * 2 ** min(record.ejections, _MAX_DOUBLINGS)
        record.interval_ms = min(_MAX_PROBE_INTERVAL_MS, lengthened_ms)
        record.ejected = True
        record.ejections += 1
        record.good_probes = 0

    def _double_interval(
        self,
        record: WorkerRecord,
        least_ms: Milliseconds,
    ) -> None:
        doubled_ms = max(least_ms, record.interval_ms * 2)
        record.interval_ms = min(_MAX_PROBE_INTERVAL_MS, doubled_ms)

    def _count_failures(self, worker: str, record: WorkerRecord) -> None:
        """Count a worker's failures except those due to the jobs."""
        failure_streak, failures = 0, 0
        in_streak = True
        failed_jobs: set[JobId] = set()
        for job_id, failed in reversed(record.outcomes):
            if not failed:
                in_streak = False
            elif not self._job_failures.is_job_at_fault(worker, job_id):
                failures += 1
                failure_streak += in_streak
                failed_jobs.add(job_id)
        record.failure_streak = failure_streak
        record.failures = failures
        record.failed_jobs = len(failed_jobs)

    def _is_outlier(self, worker: str, record: WorkerRecord) -> bool:
        if record.failed_jobs < _MIN_DISTINCT_JOBS:
            return False
        is_full = len(record.outcomes) >= self._limits.outlier_window
        is_window_exceeded = (
            is_full and record.failures >= self._limits.outlier_failures
        )
        if not is_window_exceeded and record.failure_streak < _EJECT_STREAK:
            return False
        share = record.failures / len(record.outcomes)
        if record.failure_streak >= _EJECT_STREAK:
            share = 1.0
        return share >= self._peer_share(worker) + _MIN_PEER_EXCESS

    def _peer_share(self, worker: str) -> float:
        """Return the failure share of all other workers not ejected."""
        ran, failed = 0, 0
        for name, record in self._records.items():
            if name != worker and not record.ejected:
                ran += len(record.outcomes)
                failed += sum(task_failed for _, task_failed in record.outcomes)
        return failed / ran if ran else 0


class NoOutliers:
    """Baseline that never blocks a worker."""

    @property
    def ejection_count(self) -> int:
        """Return zero."""
        return 0

    def configure(self, limits: Limits) -> None:
        """Ignore the limits."""

    def record(
        self,
        worker: str,
        job_id: JobId,
        failed: bool,
        now_ms: Milliseconds,
    ) -> None:
        """Ignore the outcome."""

    def sent(self, worker: str, now_ms: Milliseconds) -> None:
        """Ignore the task."""

    def blocked(
        self,
        workers: Collection[str],
        in_flight: dict[str, int],
        now_ms: Milliseconds,
    ) -> set[str]:
        """Return an empty set."""
        return set()

    def forget(self, worker: str) -> None:
        """Do nothing, because no records are kept."""
