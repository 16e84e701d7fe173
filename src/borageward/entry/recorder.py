"""Records the outcomes of jobs in the control log."""

from __future__ import annotations

import trio

from borageward.clock import Clock, Milliseconds
from borageward.entry.controlcalls import ControlCalls
from borageward.entry.job import Job
from borageward.entry.joboutcome import outcome_kind
from borageward.failures import Failure, FailureReason
from borageward.identity import JobId
from borageward.messages.control import JobFinish, OutcomeKind

_RETRY_MS = 200.0
_IDLE_POLL_MS = 20.0
# An answer with ``not_run`` waits for its record; retries end after this time.
NOT_RUN_RECORD_TIMEOUT_MS = 6000.0


class OutcomeRecorder:
    """Records outcomes, retrying until control accepts or rejects them.

    An outcome stays pending until then. A resubmission must be answered from
    it, because the claim does not show yet that the job has ended.
    """

    def __init__(self, calls: ControlCalls, clock: Clock) -> None:
        """Prepare a recorder; ``start`` must be called before its use."""
        self._calls = calls
        self._clock = clock
        self._pending: dict[JobId, OutcomeKind] = {}
        self._nursery: trio.Nursery | None = None

    @property
    def pending(self) -> int:
        """Return the number of outcomes that are not recorded yet."""
        return len(self._pending)

    async def start(self, nursery: trio.Nursery) -> None:
        """Use the nursery for outcomes that are recorded later."""
        self._nursery = nursery

    def pending_outcome(self, job_id: JobId) -> OutcomeKind | None:
        """Return the pending outcome of a job, or ``None`` if it has none."""
        return self._pending.get(job_id)

    async def wait_idle(self) -> None:
        """Wait until every outcome is recorded or rejected."""
        while self._pending:
            await self._clock.sleep_ms(_IDLE_POLL_MS)

    def record_later(self, job: Job) -> None:
        """Record the outcome of a resolved job in the background."""
        self._pending[job.job_id] = outcome_kind(job.outcomes())
        if self._nursery is not None:
            self._nursery.start_soon(self._record, job)

    async def record_now(self, job: Job) -> bool:
        """Record the outcome of a resolved job before it is answered.

        Failed calls are repeated for ``NOT_RUN_RECORD_TIMEOUT_MS``. Returns
        false when control has rejected the outcome or the last call failed;
        after a failed call the outcome may have been recorded.
        """
        deadline_ms = self._clock.now_ms() + NOT_RUN_RECORD_TIMEOUT_MS
        recorded = await self._record_with_retries(job, deadline_ms)
        return recorded is True

    async def _record(self, job: Job) -> None:
        await self._record_with_retries(job, None)
        self._pending.pop(job.job_id, None)

    async def _record_with_retries(
        self,
        job: Job,
        deadline_ms: Milliseconds | None,
    ) -> bool | Failure:
        finish = JobFinish(job.job_id, outcome_kind(job.outcomes()))
        while True:
            recorded = await self._calls.finish(job.owner, finish)
            if not isinstance(recorded, Failure) or _is_final(recorded):
                return recorded
            if deadline_ms is not None and self._clock.now_ms() > deadline_ms:
                return recorded
            await self._clock.sleep_ms(_RETRY_MS)


def _is_final(failure: Failure) -> bool:
    return failure.reason in {
        FailureReason.INCARNATION_ENDED,
        FailureReason.OWNER_CHANGED,
        FailureReason.ALREADY_FINISHED,
    }
