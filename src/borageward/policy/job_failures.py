"""Tells jobs that can never run from workers that fail."""

from __future__ import annotations

from collections import Counter, OrderedDict

import attrs

from borageward.identity import JobId

_REMEMBERED_JOBS = 2000
# A job that fails at this many other workers, at this share of its tasks
# there, is taken as the cause of its own failures.
_OTHER_WORKERS = 2
_OTHER_SHARE = 0.5


@attrs.define(slots=True, eq=False)
class _JobOutcomes:
    ran: Counter[str] = attrs.field(factory=Counter)
    failed: Counter[str] = attrs.field(factory=Counter)


class JobFailures:
    """Outcomes of recent jobs by worker."""

    def __init__(self) -> None:
        """Start without outcomes."""
        self._jobs: OrderedDict[JobId, _JobOutcomes] = OrderedDict()

    def record(self, worker: str, job_id: JobId, failed: bool) -> None:
        """Count one outcome."""
        outcomes = self._jobs.setdefault(job_id, _JobOutcomes())
        outcomes.ran[worker] += 1
        if failed:
            outcomes.failed[worker] += 1
        self._jobs.move_to_end(job_id)
        if len(self._jobs) > _REMEMBERED_JOBS:
            self._jobs.popitem(last=False)

    def blames_job(self, worker: str, job_id: JobId) -> bool:
        """Tell whether a job fails at other workers as well."""
        outcomes = self._jobs.get(job_id)
        if outcomes is None:
            return False
        others = [name for name in outcomes.ran if name != worker]
        failing = sum(1 for name in others if outcomes.failed[name])
        if failing < _OTHER_WORKERS:
            return False
        ran = sum(outcomes.ran[name] for name in others)
        failed = sum(outcomes.failed[name] for name in others)
        return failed >= ran * _OTHER_SHARE
