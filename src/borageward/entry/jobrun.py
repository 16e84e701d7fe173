"""Processing of one job from its claim to its answer."""

from __future__ import annotations

import attrs
import trio

from borageward.clock import Clock
from borageward.entry.answers import Answer, refused_answer
from borageward.entry.controlcalls import ControlCalls
from borageward.entry.dispatcher import Dispatcher
from borageward.entry.job import Job
from borageward.entry.openjobs import AnswerStore
from borageward.entry.peers import EntryPeers
from borageward.entry.recorder import OutcomeRecorder
from borageward.entry.startgate import StartGate
from borageward.entry.takeover import Takeover, remaining_ms
from borageward.entry.joboutcome import has_not_run, outcome_kind
from borageward.failures import Failure, FailureReason, RunState
from borageward.messages.control import (
    ClaimAnswer,
    ClaimRequest,
    ClaimState,
    OutcomeKind,
)
from borageward.messages.entry import ForwardJob
from borageward.telemetry import EventLog
from borageward.telemetry.events import JOB_CLAIMED

# Time that started tasks get to finish after the job has been closed.
_FINISH_GRACE_MS = 500.0
_CLAIM_RETRY_MS = 100.0
_MS_PER_SECOND = 1000.0

_CLAIM_REFUSALS = {  # noqa: WPS407
    ClaimState.CONFLICT: Failure(
        FailureReason.ID_CONFLICT,
        'the id names a job with a different service or tasks',
    ),
    ClaimState.TOO_OLD: Failure(
        FailureReason.ID_TOO_OLD,
        'the id is too old to determine whether the job ran',
    ),
    ClaimState.IN_FUTURE: Failure(
        FailureReason.ID_IN_FUTURE,
        'the timestamp in the id is in the future',
    ),
}


@attrs.frozen(slots=True)
class RunContext:
    """Components of an entry that all job runs share."""

    calls: ControlCalls
    dispatcher: Dispatcher
    takeover: Takeover
    peers: EntryPeers
    recorder: OutcomeRecorder
    answers: AnswerStore
    gate: StartGate
    clock: Clock
    log: EventLog


class JobRun:
    """Claims one job, then runs it, forwards it or takes it over."""

    def __init__(self, job: Job, context: RunContext) -> None:
        """Create the run of an admitted job."""
        self._job = job
        self._context = context
        # Whether another entry may have started tasks of the job.
        self._owned_elsewhere = False

    async def answer(self) -> Answer:
        """Process the job and return its answer.

        Failures are returned as answers; nothing is raised.
        """
        job = self._job
        while True:
            claim = await self._claim()
            if isinstance(claim, Failure):
                return self._claim_failure_answer(claim)
            refusal = _CLAIM_REFUSALS.get(claim.state)
            if refusal is not None:
                return refused_answer(job.job_id, refusal)
            answer = await self._handle_claim(claim)
            if answer is not None:
                return answer
            await self._context.clock.sleep_ms(_CLAIM_RETRY_MS)

    async def _claim(self) -> ClaimAnswer | Failure:
        job = self._job
        request = ClaimRequest(
            job.job_id,
            job.request.digest,
            len(job.tasks),
        )
        wait_ms = remaining_ms(self._context.clock, job)
        with trio.move_on_after(wait_ms / _MS_PER_SECOND):
            return await self._context.calls.claim(request)
        return Failure(
            FailureReason.DEADLINE_EXCEEDED,
            'the job could not be claimed before its deadline',
        )

    def _claim_failure_answer(self, failure: Failure) -> Answer:
        """Return the answer when claiming the job failed or timed out.

        The claim may exist under this entry's incarnation, but this entry has
        started no task and starts none unless the job is submitted again.
        ``not_run`` is therefore correct without recording it, and the id
        remains usable.
        """
        run_state = RunState.NOT_RUN
        if self._owned_elsewhere:
            run_state = RunState.MAY_HAVE_RUN
        return refused_answer(
            self._job.job_id,
            attrs.evolve(failure, run_state=run_state),
        )

    async def _handle_claim(self, claim: ClaimAnswer) -> Answer | None:
        """Process the job as its claim requires.

        Returns ``None`` if the claim must be requested again.
        """
        context = self._context
        if claim.owner == context.gate.incarnation:
            if claim.outcome is not None:
                return self._recorded_answer(claim.outcome)
            if claim.former_owners:
                # The reply to an earlier takeover by this entry was lost.
                return await self._settle_job(claim)
            self._mark_claimed(claim)
            context.dispatcher.enqueue(self._job, self._job.tasks)
            return await self._finish()
        if claim.state is ClaimState.CLAIMED:
            # The incarnation of this entry that claimed it has just ended.
            return None
        self._owned_elsewhere = True
        if claim.state is ClaimState.OWNED and claim.owner_live:
            return await self._forward(claim)
        return await self._take_over(claim)

    def _mark_claimed(self, claim: ClaimAnswer) -> None:
        self._job.mark_claimed(self._context.gate.incarnation)
        self._context.log.debug(
            JOB_CLAIMED,
            job=self._job.job_id,
            incarnation=claim.owner,
            claimed_at=claim.claimed_at,
        )

    async def _forward(self, claim: ClaimAnswer) -> Answer | None:
        job = self._job
        left_ms = remaining_ms(self._context.clock, job)
        job.forwarded_to = claim.owner_address
        answer = await self._context.peers.call_owner(
            claim,
            ForwardJob(job.request.body, left_ms),
            left_ms + 2 * _FINISH_GRACE_MS,
        )
        job.forwarded_to = ''
        return None if isinstance(answer, Failure) else answer

    async def _take_over(self, claim: ClaimAnswer) -> Answer | None:
        job = self._job
        if claim.outcome is not None:
            return await self._recover_answer(claim)
        new_claim = await self._context.calls.take_over(job.job_id)
        if isinstance(new_claim, Failure):
            return None
        if new_claim.owner != self._context.gate.incarnation:
            return None
        if new_claim.outcome is not None:
            return await self._recover_answer(claim)
        return await self._settle_job(new_claim)

    async def _settle_job(self, claim: ClaimAnswer) -> Answer:
        """Take over a job of which earlier owners may have started tasks."""
        self._mark_claimed(claim)
        failure = await self._context.takeover.recover(
            self._job,
            claim,
            may_start=True,
        )
        if failure is not None:
            self._fail_unresolved(failure)
        return await self._finish()

    async def _recover_answer(self, claim: ClaimAnswer) -> Answer:
        """Return the answer of a job whose outcome is already recorded.

        Results of a complete job are read back from the guards. If some are
        missing, only the recorded outcome is reported.
        """
        outcome = claim.outcome or OutcomeKind.FAILED
        if outcome is not OutcomeKind.COMPLETE:
            return self._recorded_answer(outcome)
        job = self._job
        job.mark_claimed(self._context.gate.incarnation)
        await self._context.takeover.recover(job, claim, may_start=False)
        if (
            job.is_resolved
            and outcome_kind(job.outcomes()) is OutcomeKind.COMPLETE
        ):
            return self._store_answer(job.final_answer())
        return self._recorded_answer(outcome)

    def _recorded_answer(self, outcome: OutcomeKind) -> Answer:
        """Return the answer for a recorded outcome without its results."""
        return refused_answer(self._job.job_id, recorded_failure(outcome))

    def _fail_unresolved(self, failure: Failure) -> None:
        unknown = attrs.evolve(failure, run_state=RunState.MAY_HAVE_RUN)
        for task in self._job.unresolved():
            self._job.fail_task(task.waiting.index, unknown)

    async def _finish(self) -> Answer:
        job = self._job
        context = self._context
        reason = FailureReason.DEADLINE_EXCEEDED
        wait_ms = remaining_ms(context.clock, job)
        with trio.move_on_after(wait_ms / _MS_PER_SECOND):
            reason = await job.wait_ended()
        if not job.is_resolved:
            context.dispatcher.close_job(job, reason)
            with trio.move_on_after(_FINISH_GRACE_MS / _MS_PER_SECOND):
                await job.wait_resolved()
            context.dispatcher.fail_open_tasks(job, _unfinished_task(reason))
        await self._record()
        return self._store_answer(job.final_answer())

    async def _record(self) -> None:
        job = self._job
        if not has_not_run(job.outcomes()):
            self._context.recorder.record_later(job)
            return
        if not await self._context.recorder.record_now(job):
            job.replace_not_run(
                Failure(
                    FailureReason.OWNER_CHANGED,
                    'control did not record the outcome of the job',
                ),
            )

    def _store_answer(self, answer: Answer) -> Answer:
        job = self._job
        self._context.answers.store(job.job_id, job.request.digest, answer)
        return answer


def recorded_failure(outcome: OutcomeKind) -> Failure:
    """Return the failure for a job of which only the outcome is known."""
    if outcome is OutcomeKind.NOT_RUN:
        return Failure(
            FailureReason.WITHDRAWN,
            'the job was refused earlier and did not run',
        )
    return Failure(
        FailureReason.RESULT_LOST,
        f'the job is recorded as {outcome.value}; its answer is not available',
        RunState.MAY_HAVE_RUN,
    )


def _unfinished_task(reason: FailureReason) -> Failure:
    return Failure(
        reason,
        'the task was started and had not finished when the job ended',
        RunState.MAY_HAVE_RUN,
    )
