"""Admission of jobs and retrieval of their answers."""

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

# Limit on the request bodies of all open jobs together.
MAX_OPEN_BYTES = 268_435_456
_PEER_TIMEOUT_MS = 2000.0


class JobManager:
    """Accepts, reads and cancels jobs on behalf of the callers of an entry.

    Every request is answered; failures are returned as answers, not raised.
    """

    def __init__(
        self,
        jobs: OpenJobs,
        policy: DispatchPolicy,
        context: RunContext,
    ) -> None:
        """Create the manager; jobs run only after ``start``."""
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
        """Return whether new jobs are accepted."""
        return not self._closing and self._context.gate.is_open()

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in use."""
        return self._configuration

    def query_source(self, name: str, place: str) -> EntryQuerySource:
        """Return the source of query results for this entry.

        ``name`` and ``place`` identify the entry in the results.
        """
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
        """Set the nursery in which jobs run."""
        self._nursery = nursery

    def configure(self, configuration: Configuration) -> None:
        """Apply a newer configuration to later submissions."""
        self._configuration = configuration

    async def drain(self) -> None:
        """Refuse new jobs and wait until all open jobs are answered."""
        self._closing = True
        while len(self._jobs):
            await self._idle.wait()

    async def submit(self, request: JobRequest) -> Answer:
        """Return the answer of a job, running it where necessary.

        A resubmission with the same id, service and tasks gets the answer of
        the earlier submission if it is available; a different job under that
        id gets ``id_conflict``.
        """
        job = self._jobs.get(request.job_id)
        if job is not None:
            return await self._attach(job, request)
        known = self._known_answer(request)
        if known is not None:
            return known
        refusal = self._admit(request)
        if refusal is not None:
            now_ms = self._context.clock.now_ms()
            self._refusals.add(request, refusal.reason, now_ms)
            return await self._refuse(request.job_id, refusal)
        return await self._open_job(request).wait_answered()

    async def read(self, job_id: JobId, local: bool = False) -> Answer:
        """Return the answer of a job, or its state while it is open.

        With ``local`` the request came from another entry and is not
        forwarded; a job that is unknown here gets ``unknown_job``.
        """
        job = self._jobs.get(job_id)
        if job is not None:
            resolved = len(job.tasks) - job.open_tasks
            return running_answer(job_id, len(job.tasks), resolved)
        stored = self._context.answers.find(job_id)
        if stored is not None:
            return stored.answer
        if local:
            return refused_answer(job_id, _unknown_job())
        return await self._ask_owner(job_id, ReadJob(job_id))

    async def cancel(self, job_id: JobId, local: bool = False) -> Answer:
        """Cancel a job and return its answer.

        A job that has already ended keeps its answer. With ``local`` the
        request came from another entry and is not forwarded.
        """
        job = self._jobs.get(job_id)
        if job is not None and not job.forwarded_to:
            job.stop(FailureReason.CANCELLED)
            return await job.wait_answered()
        stored = self._context.answers.find(job_id)
        if stored is not None:
            return stored.answer
        if local:
            return refused_answer(job_id, _unknown_job())
        return await self._ask_owner(job_id, CancelJob(job_id))

    def end_incarnation(self, current: int) -> None:
        """Stop claimed jobs of incarnations other than ``current``.

        Zero means that the entry has no incarnation.
        """
        for job in self._jobs:
            if job.owner not in {0, current}:
                job.stop(FailureReason.INCARNATION_ENDED)

    async def _attach(self, job: Job, request: JobRequest) -> Answer:
        if job.request.digest != request.digest:
            return refused_answer(request.job_id, _id_conflict())
        return await job.wait_answered()

    def _known_answer(self, request: JobRequest) -> Answer | None:
        stored = self._context.answers.find(request.job_id)
        if stored is not None:
            if stored.digest != request.digest:
                return refused_answer(request.job_id, _id_conflict())
            return stored.answer
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
                'the entry has no valid configuration lease',
            )
        if request.service not in self._configuration.services:
            return Failure(
                FailureReason.UNKNOWN_SERVICE,
                f'unknown service {request.service!r}',
            )
        limits = self._configuration.limits
        if len(self._jobs) >= limits.max_open_jobs:
            return Failure(
                FailureReason.OVERLOADED,
                'the entry has reached its limit of open jobs',
            )
        if self._jobs.body_bytes + len(request.body) > MAX_OPEN_BYTES:
            return Failure(
                FailureReason.OVERLOADED,
                'the request bodies of the open jobs have reached the limit',
            )
        return self._policy.admit(
            _job_need(request),
            self._context.clock.now_ms(),
        )

    async def _refuse(self, job_id: JobId, refusal: Failure) -> Answer:
        """Return the answer for a submission refused before its claim.

        The id may belong to a job that ran at another entry; the refusal then
        says ``may_have_run``. If control cannot be asked, this is unknown and
        the refusal covers this submission only.
        """
        if self._context.gate.is_open():
            claim = await self._context.calls.find(job_id)
            if isinstance(claim, ClaimAnswer) and claim.owner:
                refusal = attrs.evolve(
                    refusal,
                    run_state=RunState.MAY_HAVE_RUN,
                )
        return refused_answer(job_id, refusal)

    def _open_job(self, request: JobRequest) -> Job:
        job = Job(request, self._context.clock.now_ms())
        self._jobs.add(job)
        if self._nursery is not None:
            self._nursery.start_soon(self._run_job, job)
        return job

    async def _run_job(self, job: Job) -> None:
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

    async def _ask_owner(
        self,
        job_id: JobId,
        request: ReadJob | CancelJob,
    ) -> Answer:
        claim = await self._context.calls.find(job_id)
        if isinstance(claim, Failure):
            return refused_answer(job_id, _unreadable_state(claim))
        if claim.owner == 0:
            return refused_answer(job_id, _unknown_job())
        if self._has_other_live_owner(claim):
            answer = await self._context.peers.call_owner(
                claim,
                request,
                _PEER_TIMEOUT_MS,
            )
            if isinstance(answer, Answer):
                return answer
        if claim.outcome is not None:
            return refused_answer(job_id, recorded_failure(claim.outcome))
        return refused_answer(job_id, _unsettled_job())

    def _has_other_live_owner(self, claim: ClaimAnswer) -> bool:
        own = claim.owner == self._context.gate.incarnation
        return claim.owner_live and not own


def _job_need(request: JobRequest) -> JobNeed:
    return JobNeed(
        request.job_id,
        request.service,
        request.urgent,
        request.deadline_ms,
        tuple(task.kind for task in request.tasks),
    )


def _id_conflict() -> Failure:
    return Failure(
        FailureReason.ID_CONFLICT,
        'the id names a job with a different service or tasks',
    )


def _unknown_job() -> Failure:
    return Failure(FailureReason.UNKNOWN_JOB, 'no job with this id is known')


def _unreadable_state(failure: Failure) -> Failure:
    return Failure(
        failure.reason,
        'the state of the job could not be read from control',
        RunState.MAY_HAVE_RUN,
    )


def _unsettled_job() -> Failure:
    return Failure(
        FailureReason.INCARNATION_ENDED,
        'no entry that runs the job answered; submit it again to settle it',
        RunState.MAY_HAVE_RUN,
    )
