"""Takeover of jobs whose owner has ended."""

from __future__ import annotations

import attrs
import trio

from borageward.clock import Clock, Milliseconds
from borageward.entry.batcher import Control
from borageward.entry.directory import Directory
from borageward.entry.dispatcher import Dispatcher
from borageward.entry.fencing import AcceptedTasks, FenceResult, Fencing
from borageward.entry.job import ATTEMPTS_PER_OWNER, Job, JobTask
from borageward.entry.startgate import StartGate
from borageward.failures import Failure, FailureReason, RunState
from borageward.messages.control import ClaimAnswer
from borageward.messages.guard import Settle, Settled
from borageward.messages.task import TaskPhase, TaskReport

# The outcome is due 3,000 ms after the owner has failed. Its lease expires
# after 1,500 ms; fencing and settling must fit into the rest.
_SETTLE_TIMEOUT_MS = 700.0
_MS_PER_SECOND = 1000.0


@attrs.frozen(slots=True)
class _LocatedReport:
    """State of a task and the guard that reported it."""

    accepted: AcceptedTasks
    report: TaskReport


@attrs.define(slots=True)
class _Findings:
    """Replies of the guards about one job, by task index."""

    located: dict[int, list[_LocatedReport]] = attrs.field(factory=dict)
    # Tasks accepted by a guard that did not report their state.
    unreported: set[int] = attrs.field(factory=set)


class Takeover:
    """Determines which tasks of a job ran and continues the others.

    A task may start only if every guard live since the claim has fenced the
    earlier owners and none of them has run the task.
    """

    def __init__(
        self,
        fencing: Fencing,
        dispatcher: Dispatcher,
        clock: Clock,
    ) -> None:
        """Create the takeovers of one entry."""
        self._fencing = fencing
        self._dispatcher = dispatcher
        self._clock = clock

    async def recover(
        self,
        job: Job,
        claim: ClaimAnswer,
        may_start: bool,
    ) -> Failure | None:
        """Resolve, adopt or enqueue every task of a job whose owners ended.

        Returns a failure if the guards could not be read from control.
        Without ``may_start`` the tasks that may start are not enqueued and
        stay unresolved.
        """
        fence_result = await self._fencing.fence_owners(claim)
        if isinstance(fence_result, Failure):
            return fence_result
        findings = await self._ask_guards(job, fence_result)
        waiting = [
            task
            for task in job.unresolved()
            if self._settle_task(job, task, findings, fence_result)
        ]
        if may_start:
            self._dispatcher.enqueue(job, waiting)
        return None

    async def _ask_guards(
        self, job: Job, fence_result: FenceResult
    ) -> _Findings:
        findings = _Findings()
        async with trio.open_nursery() as nursery:
            for accepted in fence_result.accepted_tasks(job.job_id):
                nursery.start_soon(self._ask_guard, job, accepted, findings)
        return findings

    async def _ask_guard(
        self,
        job: Job,
        accepted: AcceptedTasks,
        findings: _Findings,
    ) -> None:
        settled: Settled | None = None
        message = Settle(
            job.job_id,
            job.owner,
            accepted.owner,
            accepted.indexes,
            job.owner * ATTEMPTS_PER_OWNER,
        )
        with trio.move_on_after(_SETTLE_TIMEOUT_MS / _MS_PER_SECOND):
            settled = await accepted.link.settle(message)
        if settled is None:
            findings.unreported.update(accepted.indexes)
            return
        reported = {report.index for report in settled.reports}
        findings.unreported.update(set(accepted.indexes) - reported)
        for report in settled.reports:
            located = findings.located.setdefault(report.index, [])
            located.append(_LocatedReport(accepted, report))

    def _settle_task(
        self,
        job: Job,
        task: JobTask,
        findings: _Findings,
        fence_result: FenceResult,
    ) -> bool:
        """Adopt or fail a task as the guards reported.

        Returns true if the task may be started.
        """
        index = task.waiting.index
        located = findings.located.get(index, [])
        for found in located:
            if found.report.phase is not TaskPhase.NOT_RUN:
                self._adopt(job, found)
                return False
        if index in findings.unreported or not fence_result.complete:
            job.fail_task(index, _guard_unreachable())
            return False
        if located and not task.waiting.idempotent:
            # A start has been sent, and it must not be sent twice.
            job.fail_task(index, Failure(FailureReason.WITHDRAWN))
            return False
        return True

    def _adopt(self, job: Job, found: _LocatedReport) -> None:
        link = found.accepted.link
        index = found.report.index
        job.adopt(index, link.incarnation, link.worker, found.accepted.owner)
        link.add_open_task(job.job_id, index)
        self._dispatcher.settlement.apply_report(link, job, found.report)


def new_fencing(
    control: Control,
    directory: Directory,
    gate: StartGate,
) -> Fencing:
    """Return the fencing that all takeovers of one entry share."""
    return Fencing(control, directory, gate)


def remaining_ms(clock: Clock, job: Job) -> Milliseconds:
    """Return the time until the job's deadline, never negative."""
    return max(0, job.deadline_ms - clock.now_ms())


def _guard_unreachable() -> Failure:
    return Failure(
        FailureReason.GUARD_UNREACHABLE,
        'a guard that may have started the task did not answer',
        RunState.MAY_HAVE_RUN,
    )
