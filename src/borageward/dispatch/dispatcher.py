"""Placement of the waiting tasks of all jobs of an entry."""

from __future__ import annotations

import collections

import attrs
import trio

from borageward.clock import Clock
from borageward.dispatch.candidates import Candidates, placement_need
from borageward.dispatch.contact import CallerContact
from borageward.dispatch.endingruns import EndingRuns
from borageward.dispatch.fleet import Fleet
from borageward.dispatch.job import Job, JobTask, TaskState
from borageward.dispatch.request import JobOutcome, JobVerdict
from borageward.messages.runs import RunOutcome, RunRef, StartRuns
from borageward.policy.run_admission import (
    Backlog,
    retry_after_ms,
    should_refuse,
)
from borageward.policy.run_order import slack_ms
from borageward.policy.run_placement import RunPlacement
from borageward.telemetry import EventLog

# After the first task that finds no endpoint, a placement round tries the next
# tasks until this many more have found none.
_LOOKAHEAD_TASKS = 24
# No job is refused for this time after the start of the entry: until it knows
# all endpoints, it cannot estimate how long a job would wait.
_STARTUP_MS = 2000.0
_MILLICORES_PER_CORE = 1000


@attrs.frozen(slots=True)
class _WaitingTask:
    """A task to be placed; tasks with less slack are placed first."""

    slack_ms: float
    job: Job
    task: JobTask


class Dispatcher:
    """Places the tasks of the jobs in progress at one entry.

    The waiting tasks are placed in the order of their slack. A job is refused
    when no run of it was ordered and it would wait too long.
    """

    def __init__(
        self,
        fleet: Fleet,
        placement: RunPlacement,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Prepare to dispatch to the guards of a fleet; ``run`` starts it."""
        self._fleet = fleet
        self._placement = placement
        self._clock = clock
        self._log = log
        self._jobs: dict[str, Job] = {}
        self._ending = EndingRuns()
        self._contact = CallerContact(clock, log)
        self._started_ms = clock.now_ms()
        self._wake = trio.Event()
        # Whether the last placement round left tasks without an endpoint.
        self._has_unplaced = False

    @property
    def jobs(self) -> dict[str, Job]:
        """Return the jobs in progress by id."""
        return self._jobs

    def add(self, job: Job) -> None:
        """Add a job and start to place its tasks.

        A task of which an earlier submission left a run that has not ended is
        placed once that run has ended.
        """
        self._jobs[job.request.job_id] = job
        job.continue_from(self._ending)
        self.wake()

    def remove(self, job: Job) -> None:
        """Remove a job and stop its runs."""
        self._jobs.pop(job.request.job_id, None)
        runs = [(task.guard, task.ref) for task in job.placed()]
        for guard, ref in runs:
            self._ending.add(guard, ref)
        self._fleet.stop(runs)

    def wake(self) -> None:
        """Start another placement round."""
        self._wake.set()

    def handle_state(self) -> None:
        """Start another placement round if tasks wait for an endpoint.

        Has to be called at intervals too, as tasks may wait for the end of a
        silence.

        Most states arrive while nothing waits; a round for each of them would
        use more of the processor than the placement itself.
        """
        self._record_contact()
        if self._has_unplaced:
            self.wake()

    def handle_end(
        self,
        guard: str,
        ref: RunRef,
        outcome: RunOutcome,
        detail: str,
    ) -> None:
        """Update the job of a run that has ended.

        The end is ignored when the job is no longer in progress or the run is
        not the newest of its task.
        """
        if self._ending.handle_end(guard, ref):
            self.wake()
            return
        job = self._jobs.get(ref.task.job_id)
        task = None if job is None else job.find(ref.task)
        if job is None or task is None:
            return
        if (task.guard, task.ref) != (guard, ref):
            return
        if task.state is not TaskState.PLACED:
            return
        self._log_end(guard, ref, outcome, detail)
        if outcome is RunOutcome.CRASHED:
            self._handle_crash(job, task)
        else:
            _apply_outcome(job, task, outcome)
        if self._has_unplaced or job.waiting():
            self.wake()

    async def run(self) -> None:
        """Place tasks until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            # Callers whose disconnection arrived with the event that causes
            # this round are handled first.
            await trio.lowlevel.checkpoint()
            self._dispatch()

    def _record_contact(self) -> None:
        """Record the contact to guards; stop runs without sure callers.

        The callers may repeat their jobs before the entry learns that they have
        left, so the runs must not be extended by the guards that are heard.
        """
        if self._contact.record(self._fleet.heard_ms()):
            self._fleet.stop(
                (task.guard, task.ref)
                for job in self._jobs.values()
                if not self._contact.may_order(job.submitted_ms)
                for task in job.placed()
            )

    def _handle_crash(self, job: Job, task: JobTask) -> None:
        now_ms = self._clock.now_ms()
        suspects = sum(
            item.suspects_at(task.guard, now_ms) for item in self._jobs.values()
        )
        others = suspects > int(task.is_suspect)
        job.crash(task, now_ms, other_suspects=others)
        self._log.event(
            'task_crashed',
            job=job.request.job_id,
            task=task.key.index,
            guard=task.guard,
            crashes=len(task.crash_ages_ms),
            age_ms=round(task.crash_ages_ms[-1]),
            suspects=suspects,
        )

    def _dispatch(self) -> None:
        """Place the tasks that fit and refuse jobs that would wait too long."""
        self._has_unplaced = False
        waiting_tasks = self._waiting_by_slack()
        if not waiting_tasks:
            return
        candidates = Candidates(self._fleet)
        unplaced: list[_WaitingTask] = []
        for waiting in waiting_tasks:
            if len(unplaced) > _LOOKAHEAD_TASKS:
                unplaced.append(waiting)
            elif not self._place(waiting, candidates):
                unplaced.append(waiting)
        self._has_unplaced = self._has_unplaced or bool(unplaced)
        self._refuse_excess(unplaced, candidates)
        self._fleet.flush()

    def _refuse_excess(
        self,
        unplaced: list[_WaitingTask],
        candidates: Candidates,
    ) -> None:
        """Refuse the jobs that would wait too long.

        Before a job is refused, its task is offered to the endpoints that would
        end it after its goal.
        """
        ahead_cpu_ms: dict[str, float] = collections.defaultdict(float)
        for waiting in unplaced:
            self._report_shortage(waiting)
            job = waiting.job
            pool = job.request.queue.pool
            backlog = Backlog(ahead_cpu_ms[pool], candidates.cores(pool))
            if job.outcome is not None:
                continue
            if self._is_excess(job, backlog):
                if not self._place(waiting, candidates, accepts_late=True):
                    self._refuse(job, backlog, candidates)
            else:
                ahead_cpu_ms[pool] += _cpu_ms(job, waiting.task)

    def _report_shortage(self, waiting: _WaitingTask) -> None:
        request = waiting.job.request
        step = request.steps[waiting.task.key.step]
        self._fleet.report_shortage(request.queue.pool, step.required_label)

    def _waiting_by_slack(self) -> list[_WaitingTask]:
        now_ms = self._clock.now_ms()
        self._record_contact()
        waiting: list[_WaitingTask] = []
        for job in self._jobs.values():
            for task in self._placeable(job):
                step = job.request.steps[task.key.step]
                slack = slack_ms(job.goal, step.estimate_ms, now_ms)
                waiting.append(_WaitingTask(slack, job, task))
        waiting.sort(key=_by_slack)
        return waiting

    def _placeable(self, job: Job) -> list[JobTask]:
        """Return the waiting tasks without an ending run.

        A job has none while its caller may have left unnoticed.
        """
        if job.outcome is not None:
            return []
        if not self._contact.may_order(job.submitted_ms):
            self._has_unplaced = self._has_unplaced or bool(job.waiting())
            return []
        return [task for task in job.waiting() if task.key not in self._ending]

    def _is_excess(self, job: Job, backlog: Backlog) -> bool:
        """Return whether a job would wait too long and may be refused."""
        if job.ordered:
            return False
        now_ms = self._clock.now_ms()
        if now_ms - self._started_ms < _STARTUP_MS:
            return False
        return should_refuse(job.goal, job.chain_ms, backlog, now_ms)

    def _refuse(
        self,
        job: Job,
        backlog: Backlog,
        candidates: Candidates,
    ) -> None:
        endpoints = candidates.of_pool(job.request.queue.pool)
        self._log.event(
            'job_shed',
            job=job.request.job_id,
            wait_ms=round(backlog.wait_ms),
            cores=round(backlog.cores),
            endpoints=len(endpoints),
            room=sum(max(0, item.room.cpu_milli) for item in endpoints),
            waited_ms=round(self._clock.now_ms() - job.goal.arrived_ms),
        )
        retry_ms = retry_after_ms(backlog)
        job.end(JobOutcome(JobVerdict.REFUSED, 'overloaded', retry_ms))

    def _suspects(self) -> set[str]:
        """Return the guards that run suspects."""
        return {
            task.guard
            for job in self._jobs.values()
            for task in job.placed()
            if task.is_suspect
        }

    def _place(
        self,
        waiting: _WaitingTask,
        candidates: Candidates,
        *,
        accepts_late: bool = False,
    ) -> bool:
        job = waiting.job
        task = waiting.task
        step = job.request.steps[task.key.step]
        now_ms = self._clock.now_ms()
        chosen = self._placement.choose(
            placement_need(
                job,
                task,
                now_ms,
                accepts_late=accepts_late,
                suspects=self._suspects() if task.is_suspect else None,
            ),
            candidates.of_pool(job.request.queue.pool),
        )
        if chosen is None:
            return False
        chosen.reserve(step.demand)
        ref = job.place(task, chosen.name, now_ms)
        order = StartRuns(
            order=0,
            job_id=job.request.job_id,
            occurrence=task.key.occurrence,
            step=task.key.step,
            starts=(),
            spec=job.request.spec,
            demand=step.demand,
            estimate_ms=step.estimate_ms,
            slack_ms=waiting.slack_ms,
            echoed_ms=0,
        )
        waited_ms = now_ms - job.goal.arrived_ms
        self._fleet.order(chosen.name, order, ref, waited_ms)
        return True

    def _log_end(
        self,
        guard: str,
        ref: RunRef,
        outcome: RunOutcome,
        detail: str,
    ) -> None:
        if outcome is RunOutcome.DONE:
            return
        self._log.warning(
            'run_not_done',
            job=ref.task.job_id,
            step=ref.task.step,
            task=ref.task.index,
            run=ref.run,
            guard=guard,
            outcome=outcome.value,
            detail=detail,
        )


def _by_slack(waiting: _WaitingTask) -> float:
    return waiting.slack_ms


def _cpu_ms(job: Job, task: JobTask) -> float:
    step = job.request.steps[task.key.step]
    return step.estimate_ms * step.demand.cpu_milli / _MILLICORES_PER_CORE


def _apply_outcome(job: Job, task: JobTask, outcome: RunOutcome) -> None:
    if outcome is RunOutcome.DONE:
        job.complete(task)
    elif outcome is RunOutcome.FAILED:
        job.fail(task)
    else:
        job.retry(task, outrun=outcome is RunOutcome.OUTRUN)
