"""Service of an entry that accepts jobs, runs them and returns outcomes."""

from __future__ import annotations

import math
import random
import secrets
from collections.abc import Callable

import trio

from borageward.clock import Clock, Milliseconds
from borageward.discovery import ReplicaCaller
from borageward.dispatch.directory import Directory
from borageward.dispatch.dispatcher import Dispatcher
from borageward.dispatch.fleet import Fleet
from borageward.dispatch.job import Job
from borageward.dispatch.request import (
    CancelResult,
    JobOutcome,
    JobRequest,
    JobVerdict,
)
from borageward.messages.discovery import Cancellation
from borageward.messages.runs import RunOutcome, RunRef
from borageward.policy.guard_subset import GuardSubset
from borageward.policy.run_placement import GoalPlacement
from borageward.queues import QueueRoutes
from borageward.telemetry import EventLog

_NONCE_BYTES = 8
_MS_PER_SECOND = 1000.0
_RETRY_AFTER_MS = 1000.0
_SHUTTING_DOWN = 'entry is shutting down'
# A request that arrives before the first manifest waits this long for it.
_MANIFEST_WAIT_MS = 1000.0
_LINK_UPDATE_INTERVAL_MS = 100.0

CallerFactory = Callable[[trio.Nursery], ReplicaCaller]


class DispatchService:
    """Runs the jobs that callers submit to this entry."""

    def __init__(
        self,
        seeds: tuple[str, ...],
        subset: GuardSubset,
        open_calls: CallerFactory,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Prepare the service; ``start`` opens the connections.

        ``seeds`` are the addresses of the control replicas to poll first, and
        ``subset`` chooses the guards to keep links to.
        ``clock`` must go on while the host is suspended.
        """
        self._seeds = seeds
        self._open_calls = open_calls
        self._clock = clock
        self._log = log
        nonce = secrets.token_hex(_NONCE_BYTES)
        self._fleet = Fleet(
            nonce, subset, self._handle_end, self._handle_state, clock, log
        )
        placement = GoalPlacement(random.Random())
        self._dispatcher = Dispatcher(self._fleet, placement, clock, log)
        self._directory: Directory | None = None
        self._nursery: trio.Nursery | None = None
        self._routes = QueueRoutes()
        self._manifest_version = 0
        self._manifest_received = trio.Event()
        self._scope = trio.CancelScope()

    @property
    def routes(self) -> QueueRoutes | None:
        """Return the routes to queues, or None before the first manifest."""
        return self._routes if self._manifest_version else None

    async def wait_routes(self) -> QueueRoutes | None:
        """Wait up to one second for the first manifest.

        Return the routes to the queues, or None when none has arrived.
        """
        with trio.move_on_after(_MANIFEST_WAIT_MS / _MS_PER_SECOND):
            await self._manifest_received.wait()
        return self.routes

    @property
    def open_jobs(self) -> int:
        """Return the number of jobs in progress."""
        return len(self._dispatcher.jobs)

    def find(self, job_id: str) -> Job | None:
        """Return a job in progress, or None."""
        return self._dispatcher.jobs.get(job_id)

    def waiting_jobs(self, queue: str) -> int:
        """Return the number of a queue's jobs without any ordered run."""
        return sum(
            job.request.queue.name == queue and not job.ordered
            for job in self._dispatcher.jobs.values()
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the service in the nursery."""
        await nursery.start(self._run)

    async def close(self) -> None:
        """Stop the service and close its connections."""
        self._scope.cancel()

    def add_seeds(self, seeds: tuple[str, ...]) -> None:
        """Add control replicas to poll; ignored before ``start``."""
        if self._directory is not None:
            self._directory.add_seeds(seeds)

    async def submit(self, request: JobRequest) -> JobOutcome:
        """Run a job and return its outcome.

        A job that is submitted again while it is in progress returns the same
        outcome. Its caller has lost the earlier connections, even if this entry
        has not noticed, so the job is stopped when the newest one ends.

        A caller whose ``deadline_ms`` passes gets the verdict REFUSED if no run
        of the job was ordered, and EXPIRED otherwise.
        """
        job = self._dispatcher.jobs.get(request.job_id)
        if job is None:
            job = Job(request, self._clock.now_ms())
            self._dispatcher.add(job)
            self._log_accepted(job)
        job.submissions += 1
        job.submitted_ms = self._clock.now_ms()
        submission = job.submissions
        outcome = JobOutcome(JobVerdict.EXPIRED, 'caller left')
        try:
            outcome = await self._wait_for_outcome(job, request.deadline_ms)
        finally:
            if submission == job.submissions:
                self._end_job(job, outcome)
        return outcome

    async def cancel(self, job_id: str) -> CancelResult:
        """End a job at a caller's request, with the verdict EXPIRED.

        A job that is not in progress here may be at another entry, so its
        cancellation is reported to the control replicas. That of an own job is
        reported too, without waiting: its caller may have submitted it again
        at another entry.
        """
        job = self.find(job_id)
        if job is not None:
            self._cancel_own(job, 'caller')
            if self._directory is not None:
                self._directory.announce_cancellation(job_id)
            return CancelResult.ENDED
        started_ms = self._clock.now_ms()
        accepted = self._directory is not None and (
            await self._directory.report_cancellation(job_id)
        )
        result = CancelResult.REPORTED if accepted else CancelResult.UNKNOWN
        self._log.event(
            'cancellation_reported',
            job=job_id,
            result=result.value,
            took_ms=round(self._clock.now_ms() - started_ms),
        )
        return result

    def refuse_waiting(self, remaining_ms: Milliseconds) -> None:
        """Refuse the jobs that cannot end before this entry does.

        These are the jobs of which no run was ordered and whose estimated run
        time exceeds ``remaining_ms``.
        """
        for job in self._dispatcher.jobs.values():
            if not job.ordered and job.chain_ms > remaining_ms:
                job.end(JobOutcome(JobVerdict.REFUSED, _SHUTTING_DOWN))

    def end_jobs(self) -> None:
        """End all jobs because this entry ends.

        Jobs of which no run was ordered are refused, the others expire.
        """
        self.refuse_waiting(-math.inf)
        for job in self._dispatcher.jobs.values():
            job.end(JobOutcome(JobVerdict.EXPIRED, _SHUTTING_DOWN))

    def _apply_cancellations(
        self,
        replica: str,
        cancellations: tuple[Cancellation, ...],
    ) -> None:
        """End the own jobs that were cancelled at another entry.

        A job that arrived after its cancellation was submitted again and goes
        on.
        """
        now_ms = self._clock.now_ms()
        for cancellation in cancellations:
            job = self.find(cancellation.job_id)
            cancelled_ms = now_ms - cancellation.age_ms
            if job is not None and job.goal.arrived_ms <= cancelled_ms:
                self._cancel_own(job, replica)

    def _cancel_own(self, job: Job, origin: str) -> None:
        if job.outcome is not None:
            return
        self._log.event('job_cancelled', job=job.request.job_id, origin=origin)
        job.end(JobOutcome(JobVerdict.EXPIRED, 'cancelled'))

    async def _wait_for_outcome(
        self,
        job: Job,
        timeout_ms: Milliseconds,
    ) -> JobOutcome:
        with trio.move_on_after(timeout_ms / _MS_PER_SECOND):
            return await job.wait()
        verdict = JobVerdict.REFUSED
        if job.ordered:
            verdict = JobVerdict.EXPIRED
        return JobOutcome(verdict, 'deadline passed', _RETRY_AFTER_MS)

    def _end_job(self, job: Job, outcome: JobOutcome) -> None:
        """Stop a job whose caller has its outcome or has left."""
        job.end(outcome)
        self._dispatcher.remove(job)
        self._log.event(
            'job_ended',
            job=job.request.job_id,
            verdict=outcome.verdict.value,
            reason=outcome.reason,
            took_ms=round(self._clock.now_ms() - job.goal.arrived_ms),
            goal_ms=round(job.goal.goal_ms - job.goal.arrived_ms),
            guards=job.guards(),
        )

    def _log_accepted(self, job: Job) -> None:
        request = job.request
        self._log.event(
            'job_accepted',
            job=request.job_id,
            queue=request.queue.name,
            manifest=self._manifest_version,
            tasks=sum(step.count for step in request.steps),
            deadline_ms=request.deadline_ms,
        )

    async def _run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        with self._scope:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                self._directory = Directory(
                    self._seeds,
                    self._open_calls(nursery),
                    self._apply_directory,
                    self._apply_cancellations,
                    self._clock,
                    self._log,
                )
                nursery.start_soon(self._directory.run)
                nursery.start_soon(self._dispatcher.run)
                nursery.start_soon(self._update_links, nursery)
                task_status.started()

    def _apply_directory(self) -> None:
        directory = self._directory
        if directory is None or self._nursery is None:
            return
        manifest = directory.manifest
        if manifest is not None and manifest.version != self._manifest_version:
            self._manifest_version = manifest.version
            self._routes = QueueRoutes(manifest.queues)
            self._manifest_received.set()
        self._fleet.replace_guards(directory.guards)
        self._fleet.update_links(self._nursery)
        self._dispatcher.wake()

    async def _update_links(self, nursery: trio.Nursery) -> None:
        while True:
            await self._clock.sleep_ms(_LINK_UPDATE_INTERVAL_MS)
            self._fleet.update_links(nursery)
            # Tasks that wait while no guard sends states are refused in time.
            self._dispatcher.handle_state()

    def _handle_end(
        self,
        guard: str,
        ref: RunRef,
        outcome: RunOutcome,
        detail: str,
    ) -> None:
        self._dispatcher.handle_end(guard, ref, outcome, detail)

    def _handle_state(self) -> None:
        self._dispatcher.handle_state()
