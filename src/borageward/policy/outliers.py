"""Workers that fail what they start are set aside and probed."""

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

# From this many failures in a row on, starts are limited to spaced probes.
_SUSPECT_STREAK = 3
# A streak that ejects at once; at 5% background failures and 200 starts a
# second it is reached by chance less than once in 1000 worker-days.
_EJECT_STREAK = 8
_DISTINCT_JOBS = 3
# A worker's failure share must exceed that of its peers by this much.
_PEER_EXCESS = 0.3
_FIRST_SPACING_MS = 50.0
_GOOD_PROBES = 3
_MAX_DOUBLINGS = 6
_MAX_PROBE_INTERVAL_MS = 60_000.0


class OutlierDetector(Protocol):
    """Decides which workers get no work because they fail it."""

    @property
    def ejection_count(self) -> int:
        """Return the number of ejections so far."""

    def configure(self, limits: Limits) -> None:
        """Use new limits."""

    def record(
        self,
        worker: str,
        job_id: JobId,
        failed: bool,
        now_ms: Milliseconds,
    ) -> None:
        """Learn the outcome of one task."""

    def sent(self, worker: str, now_ms: Milliseconds) -> None:
        """Learn that a task was sent to a worker."""

    def blocked(
        self,
        workers: Collection[str],
        in_flight: dict[str, int],
        now_ms: Milliseconds,
    ) -> set[str]:
        """Return the workers that get no start now."""

    def forget(self, worker: str) -> None:
        """Drop a worker that is gone."""


@attrs.define(slots=True, eq=False)
class WorkerRecord:
    """Recent outcomes of a worker, newest last, and its state.

    ``next_probe_ms`` is when a suspect or ejected worker gets its next start.
    """

    outcomes: deque[tuple[JobId, bool]]
    streak: int = 0
    failures: int = 0
    jobs: int = 0
    ejected: bool = False
    ejections: int = 0
    good_probes: int = 0
    interval_ms: Milliseconds = 0
    next_probe_ms: Milliseconds = 0

    @property
    def is_limited(self) -> bool:
        """Tell whether starts are limited to probes."""
        return self.ejected or self.streak >= _SUSPECT_STREAK


class PeerOutlierDetector:
    """Compare each worker with its peers over a window of outcomes."""

    def __init__(self, source: random.Random, limits: Limits) -> None:
        """Take jitter from a seeded source."""
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
        """Use new limits; windows restart when their size changes."""
        if limits.outlier_window != self._limits.outlier_window:
            self._records.clear()
        self._limits = limits

    def is_ejected(self, worker: str) -> bool:
        """Tell whether a worker is ejected."""
        record = self._records.get(worker)
        return record is not None and record.ejected

    def record(
        self,
        worker: str,
        job_id: JobId,
        failed: bool,
        now_ms: Milliseconds,
    ) -> None:
        """Learn the outcome of one task."""
        self._job_failures.record(worker, job_id, failed)
        record = self._record(worker)
        record.outcomes.append((job_id, failed))
        if failed:
            self._failed(worker, record, now_ms)
        else:
            self._succeeded(record)

    def sent(self, worker: str, now_ms: Milliseconds) -> None:
        """Schedule the probe after this one."""
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
        """Return limited workers that are not due for a probe.

        No more than the allowed share is held back; the worst come first.
        """
        limited = [
            name
            for name in workers
            if name in self._records and self._records[name].is_limited
        ]
        limited.sort(key=self._badness, reverse=True)
        allowed = int(len(workers) * self._limits.max_ejected_share)
        return {
            name
            for name in limited[:allowed]
            if in_flight.get(name) or self._records[name].next_probe_ms > now_ms
        }

    def forget(self, worker: str) -> None:
        """Drop a worker that is gone."""
        self._records.pop(worker, None)

    def _record(self, worker: str) -> WorkerRecord:
        found = self._records.get(worker)
        if found is None:
            size = max(_EJECT_STREAK, self._limits.outlier_window)
            found = WorkerRecord(deque(maxlen=size))
            self._records[worker] = found
        return found

    def _badness(self, worker: str) -> tuple[bool, int]:
        record = self._records[worker]
        return record.ejected, record.streak

    def _failed(
        self,
        worker: str,
        record: WorkerRecord,
        now_ms: Milliseconds,
    ) -> None:
        self._count(worker, record)
        record.good_probes = 0
        if record.ejected:
            self._widen(record, self._limits.outlier_probe_interval_ms)
        elif self._is_outlier(worker, record):
            self._eject(record)
        elif record.is_limited:
            self._widen(record, _FIRST_SPACING_MS)
        if record.is_limited:
            jitter = self._source.uniform(0.5, 1)
            record.next_probe_ms = now_ms + jitter * record.interval_ms

    def _succeeded(self, record: WorkerRecord) -> None:
        """Lift the limits; an ejected worker needs several good probes."""
        record.streak = 0
        if not record.ejected:
            record.interval_ms = 0
            return
        record.good_probes += 1
        if record.good_probes >= _GOOD_PROBES:
            record.ejected = False
            record.interval_ms = 0
            record.outcomes.clear()

    def _eject(self, record: WorkerRecord) -> None:
        """Set a worker aside, longer after each earlier ejection."""
        self._ejection_count += 1
        least_ms = self._limits.outlier_probe_interval_ms
        grown_ms = least_ms * 2 ** min(record.ejections, _MAX_DOUBLINGS)
        record.interval_ms = min(_MAX_PROBE_INTERVAL_MS, grown_ms)
        record.ejected = True
        record.ejections += 1
        record.good_probes = 0

    def _widen(self, record: WorkerRecord, least_ms: Milliseconds) -> None:
        doubled = max(least_ms, record.interval_ms * 2)
        record.interval_ms = min(_MAX_PROBE_INTERVAL_MS, doubled)

    def _count(self, worker: str, record: WorkerRecord) -> None:
        """Count the failures that are not explained by their jobs."""
        streak, failures = 0, 0
        unbroken = True
        jobs: set[JobId] = set()
        for job_id, failed in reversed(record.outcomes):
            if not failed:
                unbroken = False
            elif not self._job_failures.blames_job(worker, job_id):
                failures += 1
                streak += unbroken
                jobs.add(job_id)
        record.streak = streak
        record.failures = failures
        record.jobs = len(jobs)

    def _is_outlier(self, worker: str, record: WorkerRecord) -> bool:
        if record.jobs < _DISTINCT_JOBS:
            return False
        full = len(record.outcomes) >= self._limits.outlier_window
        window = full and record.failures >= self._limits.outlier_failures
        if not window and record.streak < _EJECT_STREAK:
            return False
        share = record.failures / len(record.outcomes)
        if record.streak >= _EJECT_STREAK:
            share = 1.0
        return share >= self._peer_share(worker) + _PEER_EXCESS

    def _peer_share(self, worker: str) -> float:
        """Return the failure share of the other workers' windows."""
        ran, failed = 0, 0
        for name, record in self._records.items():
            if name != worker and not record.ejected:
                ran += len(record.outcomes)
                failed += sum(bad for _, bad in record.outcomes)
        return failed / ran if ran else 0


class NoOutliers:
    """Baseline: no worker is set aside."""

    @property
    def ejection_count(self) -> int:
        """Return zero."""
        return 0

    def configure(self, limits: Limits) -> None:
        """Use no limit."""

    def record(
        self,
        worker: str,
        job_id: JobId,
        failed: bool,
        now_ms: Milliseconds,
    ) -> None:
        """Learn nothing."""

    def sent(self, worker: str, now_ms: Milliseconds) -> None:
        """Learn nothing."""

    def blocked(
        self,
        workers: Collection[str],
        in_flight: dict[str, int],
        now_ms: Milliseconds,
    ) -> set[str]:
        """Return no worker."""
        return set()

    def forget(self, worker: str) -> None:
        """Drop nothing."""
