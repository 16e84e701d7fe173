"""Admission of jobs, and the look-up of their answers."""

from __future__ import annotations

import attrs
import trio

from borageward.entry.answers import Answer, refused_answer, running_answer
from borageward.entry.job import Job
from borageward.entry.jobrun import JobRun, RunContext, recorded_failure
from borageward.entry.openjobs import OpenJobs
from borageward.entry.querysource import EntryParts, EntryQuerySource
from borageward.entry.refusals import RecentRefusals
from borageward.entry.request import JobRequest
from borageward.configuration import Configuration, initial_configuration
from borageward.failures import Failure, FailureReason, RunState
from borageward.identity import JobId
from borageward.messages.control import ClaimAnswer
from borageward.messages.entry import CancelJob, ReadJob
from borageward.policy.dispatch import DispatchPolicy, JobNeed
from borageward.telemetry.events import JOB_ANSWERED

# Bodies of all open jobs and results kept for callers stay below this.
MAX_OPEN_BYTES = 268_435_456
_PEER_TIMEOUT_MS = 2000.0


class JobManager:
    """Serves submissions, reads and cancellations of one entry."""

    def __init__(
        self,
        jobs: OpenJobs,
        policy: DispatchPolicy,
        context: RunContext,
    ) -> None:
        """Prepare a desk; ``start`` gives it a nursery."""
        self._jobs = jobs
        self._policy = policy
        self._context = context
        self._configuration = initial_configuration()
        self._refusals = RecentRefusals()
        self._nursery: trio.Nursery | None = None
        self._closing = False
        self._idle = trio.Event()

    @property
    def is_ready(self) -> bool:
        """Tell whether the desk takes new jobs."""
        return not self._closing and self._context.gate.is_open()

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in use."""
        return self._configuration

    def query_source(self, name: str, place: str) -> EntryQuerySource:
        """Return what queries show of the entry with a name and place."""
        return EntryQuerySource(
            EntryParts(
                name,
                place,
                self._context.clock,
                self._jobs,
                self._refusals,
                self._context.dispatcher.settlement.links,
                self._context.gate,
            ),
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Run jobs in the nursery."""
        self._nursery = nursery

    def configure(self, configuration: Configuration) -> None:
        """Use a newer configuration."""
        self._configuration = configuration

    async def drain(self) -> None:
        """Refuse new jobs and wait until the open ones are answered."""
        self._closing = True
        while len(self._jobs):
            await self._idle.wait()

    async def submit(self, request: JobRequest) -> Answer:
        """Return the answer of a job, new or known."""
        job = self._jobs.get(request.job_id)
        if job is not None:
            return await self._attach(job, request)
        known = self._known(request)
        if known is not None:
            return known
        refusal = self._admit(request)
        if refusal is not None:
            now_ms = self._context.clock.now_ms()
            self._refusals.add(request, refusal.reason, now_ms)
            return await self._refuse(request.job_id, refusal)
        return await self._open(request).wait_answered()

    async def read(self, job_id: JobId, local: bool = False) -> Answer:
        """Return the state or the answer of a job.

        With ``local`` the request came from another entry, and is not passed
        on.
        """
        job = self._jobs.get(job_id)
        if job is not None:
            resolved = len(job.tasks) - job.open_tasks
            return running_answer(job_id, len(job.tasks), resolved)
        kept = self._context.answers.find(job_id)
        if kept is not None:
            return kept.answer
        if local:
            return refused_answer(job_id, _unknown())
        return await self._look_up(job_id, ReadJob(job_id))

    async def cancel(self, job_id: JobId, local: bool = False) -> Answer:
        """Cancel a job and return its answer."""
        job = self._jobs.get(job_id)
        if job is not None and not job.forwarded_to:
            job.stop(FailureReason.CANCELLED)
            return await job.wait_answered()
        kept = self._context.answers.find(job_id)
        if kept is not None:
            return kept.answer
        if local:
            return refused_answer(job_id, _unknown())
        return await self._look_up(job_id, CancelJob(job_id))

    def end_incarnation(self, current: int) -> None:
        """Stop the jobs of incarnations other than the current one."""
        for job in self._jobs:
            if job.owner not in {0, current}:
                job.stop(FailureReason.INCARNATION_ENDED)

    async def _attach(self, job: Job, request: JobRequest) -> Answer:
        if job.request.digest != request.digest:
            return refused_answer(request.job_id, _conflict())
        return await job.wait_answered()

    def _known(self, request: JobRequest) -> Answer | None:
        kept = self._context.answers.find(request.job_id)
        if kept is not None:
            if kept.digest != request.digest:
                return refused_answer(request.job_id, _conflict())
            return kept.answer
        outcome = self._context.recorder.pending_outcome(request.job_id)
        if outcome is None:
            return None
        return refused_answer(request.job_id, recorded_failure(outcome))

    def _admit(self, request: JobRequest) -> Failure | None:
        if self._closing:
            return Failure(FailureReason.SHUTTING_DOWN)
        if not self._context.gate.is_open():
            return Failure(
                FailureReason.CONFIGURATION_STALE,
                'the entry has not confirmed its configuration',
            )
        if request.service not in self._configuration.services:
            return Failure(
                FailureReason.UNKNOWN_SERVICE,
                f'no service {request.service!r}',
            )
        limits = self._configuration.limits
        if len(self._jobs) >= limits.max_open_jobs:
            return Failure(FailureReason.OVERLOADED, 'too many open jobs')
        if self._jobs.body_bytes + len(request.body) > MAX_OPEN_BYTES:
            return Failure(FailureReason.OVERLOADED, 'too many open bytes')
        return self._policy.admit(
            _need(request),
            self._context.clock.now_ms(),
        )

    async def _refuse(self, job_id: JobId, refusal: Failure) -> Answer:
        """Refuse a submission before its claim.

        A resubmission may name a job that ran at another entry, and must not
        be told that it did not run. Without control nobody can tell, and the
        refusal speaks of this submission alone.
        """
        if self._context.gate.is_open():
            claim = await self._context.calls.find(job_id)
            if isinstance(claim, ClaimAnswer) and claim.owner:
                refusal = attrs.evolve(
                    refusal,
                    run_state=RunState.MAY_HAVE_RUN,
                )
        return refused_answer(job_id, refusal)

    def _open(self, request: JobRequest) -> Job:
        job = Job(request, self._context.clock.now_ms())
        self._jobs.add(job)
        if self._nursery is not None:
            self._nursery.start_soon(self._run, job)
        return job

    async def _run(self, job: Job) -> None:
        answer = await JobRun(job, self._context).answer()
        self._jobs.remove(job)
        self._context.log.debug(
            JOB_ANSWERED,
            job=job.job_id,
            status=answer.status,
        )
        job.publish(answer)
        if not len(self._jobs):
            self._idle.set()
            self._idle = trio.Event()

    async def _look_up(
        self,
        job_id: JobId,
        request: ReadJob | CancelJob,
    ) -> Answer:
        claim = await self._context.calls.find(job_id)
        if isinstance(claim, Failure):
            return refused_answer(job_id, _unreadable(claim))
        if claim.owner == 0:
            return refused_answer(job_id, _unknown())
        if self._is_answering(claim):
            answer = await self._context.peers.ask(
                claim,
                request,
                _PEER_TIMEOUT_MS,
            )
            if isinstance(answer, Answer):
                return answer
        if claim.outcome is not None:
            return refused_answer(job_id, recorded_failure(claim.outcome))
        return refused_answer(job_id, _unsettled())

    def _is_answering(self, claim: ClaimAnswer) -> bool:
        own = claim.owner == self._context.gate.incarnation
        return claim.owner_live and not own


def _need(request: JobRequest) -> JobNeed:
    return JobNeed(
        request.job_id,
        request.service,
        request.urgent,
        request.deadline_ms,
        tuple(task.kind for task in request.tasks),
    )


def _conflict() -> Failure:
    return Failure(FailureReason.ID_CONFLICT, 'the id names another job')


def _unknown() -> Failure:
    return Failure(FailureReason.UNKNOWN_JOB, 'no job with this id is known')


def _unreadable(failure: Failure) -> Failure:
    return Failure(
        failure.reason,
        'the state of the job could not be read',
        RunState.MAY_HAVE_RUN,
    )


def _unsettled() -> Failure:
    return Failure(
        FailureReason.INCARNATION_ENDED,
        'nobody runs the job now; submit it again to settle it',
        RunState.MAY_HAVE_RUN,
    )
