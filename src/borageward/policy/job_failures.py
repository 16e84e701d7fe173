"""Distinction between jobs that can never succeed and failing workers."""

from __future__ import annotations

from collections import Counter, OrderedDict

import attrs

from borageward.identity import JobId

_MAX_REMEMBERED_JOBS = 2000
# A job counts as the cause of its failures at a worker when it fails at this
# many other workers, and at least this share of its tasks there fails.
_MIN_FAILING_WORKERS = 2
_MIN_FAILURE_SHARE = 0.5


@attrs.define(slots=True, eq=False)
class _JobOutcomes:
    """Number of finished and of failed tasks of a job by worker."""

    ran: Counter[str] = attrs.field(factory=Counter)
    failed: Counter[str] = attrs.field(factory=Counter)


class JobFailures:
    """Outcomes of the most recent jobs by worker."""

    def __init__(self) -> None:
        """Start without outcomes."""
        self._jobs: OrderedDict[JobId, _JobOutcomes] = OrderedDict()

    def record(self, worker: str, job_id: JobId, failed: bool) -> None:
        """Count the outcome of one task."""
        outcomes = self._jobs.setdefault(job_id, _JobOutcomes())
        outcomes.ran[worker] += 1
        if failed:
            outcomes.failed[worker] += 1
        self._jobs.move_to_end(job_id)
        if len(self._jobs) > _MAX_REMEMBERED_JOBS:
            self._jobs.popitem(last=False)

    def is_job_at_fault(self, worker: str, job_id: JobId) -> bool:
        """Return whether a job also fails at workers other than this one."""
        outcomes = self._jobs.get(job_id)
        if outcomes is None:
            return False
        others = [name for name in outcomes.ran if name != worker]
        failing = sum(1 for name in others if outcomes.failed[name])
        if failing < _MIN_FAILING_WORKERS:
            return False
        ran = sum(outcomes.ran[name] for name in others)
        failed = sum(outcomes.failed[name] for name in others)
        return failed >= ran * _MIN_FAILURE_SHARE
