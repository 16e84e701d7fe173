"""One job from its claim to its answer, as sequential code."""

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

# After the deadline, tasks that have started get this time to finish.
_GRACE_MS = 500.0
_ASK_AGAIN_MS = 100.0
_MS_PER_SECOND = 1000.0

_REFUSALS = {  # noqa: WPS407
    ClaimState.CONFLICT: Failure(
        FailureReason.ID_CONFLICT,
        'the id names another job',
    ),
    ClaimState.TOO_OLD: Failure(
        FailureReason.ID_TOO_OLD,
        'the id is too old to tell whether the job ran',
    ),
    ClaimState.IN_FUTURE: Failure(
        FailureReason.ID_IN_FUTURE,
        'the time of the id is in the future',
    ),
}


@attrs.frozen(slots=True)
class RunContext:
    """What every run of a job uses."""

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
    """Claims one job, then runs, forwards or settles it."""

    def __init__(self, job: Job, context: RunContext) -> None:
        """Prepare the run of an admitted job."""
        self._job = job
        self._context = context
        # Another entry may have started tasks of the job.
        self._owned_elsewhere = False

    async def answer(self) -> Answer:
        """Return the answer; never raises."""
        job = self._job
        while True:
            claim = await self._claim()
            if isinstance(claim, Failure):
                return self._unclaimed(claim)
            refusal = _REFUSALS.get(claim.state)
            if refusal is not None:
                return refused_answer(job.job_id, refusal)
            answer = await self._follow(claim)
            if answer is not None:
                return answer
            await self._context.clock.sleep_ms(_ASK_AGAIN_MS)

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

    def _unclaimed(self, failure: Failure) -> Answer:
        """Answer a claim that failed or whose answer was lost.

        The claim may exist under this entry's incarnation. Nothing was
        started, and nothing starts unless the caller submits the job again,
        so ``not_run`` is true without a record, and the id stays usable.
        """
        run_state = RunState.NOT_RUN
        if self._owned_elsewhere:
            run_state = RunState.MAY_HAVE_RUN
        return refused_answer(
            self._job.job_id,
            attrs.evolve(failure, run_state=run_state),
        )

    async def _follow(self, claim: ClaimAnswer) -> Answer | None:
        """Act on a claim; nothing when it has to be asked again."""
        context = self._context
        if claim.owner == context.gate.incarnation:
            if claim.outcome is not None:
                return self._recorded(claim.outcome)
            if claim.former_owners:
                # The answer of an earlier takeover was lost.
                return await self._settle(claim)
            self._claimed(claim)
            context.dispatcher.enqueue(self._job, self._job.tasks)
            return await self._finish()
        if claim.state is ClaimState.CLAIMED:
            # Claimed by an incarnation of this entry that has just ended.
            return None
        self._owned_elsewhere = True
        if claim.state is ClaimState.OWNED and claim.owner_live:
            return await self._forward(claim)
        return await self._take_over(claim)

    def _claimed(self, claim: ClaimAnswer) -> None:
        self._job.claimed(self._context.gate.incarnation)
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
        answer = await self._context.peers.ask(
            claim,
            ForwardJob(job.request.body, left_ms),
            left_ms + 2 * _GRACE_MS,
        )
        job.forwarded_to = ''
        return None if isinstance(answer, Failure) else answer

    async def _take_over(self, claim: ClaimAnswer) -> Answer | None:
        job = self._job
        if claim.outcome is not None:
            return await self._recover_answer(claim)
        taken = await self._context.calls.take_over(job.job_id)
        if isinstance(taken, Failure):
            return None
        if taken.owner != self._context.gate.incarnation:
            return None
        if taken.outcome is not None:
            return await self._recover_answer(claim)
        return await self._settle(taken)

    async def _settle(self, claim: ClaimAnswer) -> Answer:
        """Settle a job that earlier owners may have started."""
        self._claimed(claim)
        failure = await self._context.takeover.recover(
            self._job,
            claim,
            may_start=True,
        )
        if failure is not None:
            self._fail_unknown(failure)
        return await self._finish()

    async def _recover_answer(self, claim: ClaimAnswer) -> Answer:
        """Read the results of a complete job back from the guards."""
        outcome = claim.outcome or OutcomeKind.FAILED
        if outcome is not OutcomeKind.COMPLETE:
            return self._recorded(outcome)
        job = self._job
        job.claimed(self._context.gate.incarnation)
        await self._context.takeover.recover(job, claim, may_start=False)
        if (
            job.is_resolved
            and outcome_kind(job.outcomes()) is OutcomeKind.COMPLETE
        ):
            return self._keep(job.final_answer())
        return self._recorded(outcome)

    def _recorded(self, outcome: OutcomeKind) -> Answer:
        """Answer for a recorded outcome whose answer nobody holds."""
        return refused_answer(self._job.job_id, recorded_failure(outcome))

    def _fail_unknown(self, failure: Failure) -> None:
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
            with trio.move_on_after(_GRACE_MS / _MS_PER_SECOND):
                await job.wait_resolved()
            context.dispatcher.forget_job(job, _unfinished(reason))
        await self._record()
        return self._keep(job.final_answer())

    async def _record(self) -> None:
        job = self._job
        if not has_not_run(job.outcomes()):
            self._context.recorder.record_later(job)
            return
        if not await self._context.recorder.record_now(job):
            job.disclaim_not_run(
                Failure(
                    FailureReason.OWNER_CHANGED,
                    'the outcome could not be recorded',
                ),
            )

    def _keep(self, answer: Answer) -> Answer:
        job = self._job
        self._context.answers.keep(job.job_id, job.request.digest, answer)
        return answer


def recorded_failure(outcome: OutcomeKind) -> Failure:
    """Return what is known of a job from its recorded outcome alone."""
    if outcome is OutcomeKind.NOT_RUN:
        return Failure(
            FailureReason.WITHDRAWN,
            'the job was refused before and did not run',
        )
    return Failure(
        FailureReason.RESULT_LOST,
        f'the job is recorded as {outcome.value}; its answer is not kept',
        RunState.MAY_HAVE_RUN,
    )


def _unfinished(reason: FailureReason) -> Failure:
    return Failure(
        reason,
        'the task was started and has not finished',
        RunState.MAY_HAVE_RUN,
    )
