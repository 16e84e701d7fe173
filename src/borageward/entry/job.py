"""The job aggregate: its tasks, their placements and its answer."""

from __future__ import annotations

import enum

import attrs
import msgspec
import trio

from borageward.clock import Milliseconds
from borageward.entry.answers import Answer
from borageward.entry.request import JobRequest
from borageward.entry.joboutcome import final_answer
from borageward.failures import Failure, FailureReason, RunState
from borageward.identity import JobId
from borageward.messages.task import TaskOutcome, TaskSpec
from borageward.policy.dispatch import WaitingTask

# One answer must fit into one frame between entries.
MAX_ANSWER_BYTES = 12_582_912

# Each owner numbers its attempts above those of any earlier owner, because
# incarnations grow, so a late start of an earlier owner never looks newer.
ATTEMPTS_PER_OWNER = 1024

_result_decoder = msgspec.json.Decoder(msgspec.Raw)


class Placement(enum.Enum):
    """Where a task stands at this entry."""

    # In the queue of the policy, or not yet handed to it.
    WAITING = 'waiting'
    # Handed to a link; the start has not been written.
    POSTED = 'posted'
    # The start was written, or may have been.
    SENT = 'sent'
    # The outcome is known or given up.
    RESOLVED = 'resolved'


@attrs.define(slots=True, eq=False)
class JobTask:
    """One task of a job; ``guard`` is the incarnation that holds it.

    ``starter`` is the entry incarnation that sent the start. An adopted task
    was started by an earlier owner, so the policy does not know it.
    """

    waiting: WaitingTask
    payload: bytes
    placement: Placement = Placement.WAITING
    guard: int = 0
    worker: str = ''
    attempt: int = 0
    starter: int = 0
    adopted: bool = False
    outcome: TaskOutcome | None = None

    def spec(self) -> TaskSpec:
        """Return the task as the guard receives it."""
        return TaskSpec(
            self.waiting.index,
            self.attempt,
            self.waiting.kind,
            self.payload,
            self.waiting.idempotent,
            self.waiting.run_class,
            self.waiting.expected_ms,
        )


class Job:
    """One job from its admission to its answer.

    A task is resolved once; later outcomes of it are ignored.
    """

    def __init__(self, request: JobRequest, now_ms: Milliseconds) -> None:
        """Prepare an unclaimed job."""
        self._request = request
        self._deadline_ms = now_ms + request.deadline_ms
        self._owner = 0
        self._tasks = _tasks_of(request, now_ms, self._deadline_ms)
        self._open = len(self._tasks)
        self._result_bytes = 0
        self._resolved = trio.Event()
        self._ended = trio.Event()
        self._answered = trio.Event()
        self._answer: Answer | None = None
        self._stopped: FailureReason | None = None
        self.closing: FailureReason | None = None
        self.forwarded_to = ''

    @property
    def job_id(self) -> JobId:
        """Return the id."""
        return self._request.job_id

    @property
    def request(self) -> JobRequest:
        """Return the request."""
        return self._request

    @property
    def deadline_ms(self) -> Milliseconds:
        """Return the deadline as a monotonic time."""
        return self._deadline_ms

    @property
    def owner(self) -> int:
        """Return the incarnation that claimed the job, zero before."""
        return self._owner

    @property
    def tasks(self) -> tuple[JobTask, ...]:
        """Return the tasks by index."""
        return self._tasks

    @property
    def open_tasks(self) -> int:
        """Return the number of unresolved tasks."""
        return self._open

    @property
    def is_resolved(self) -> bool:
        """Tell whether every task is resolved."""
        return self._open == 0

    def claimed(self, owner: int) -> None:
        """Start to act for the incarnation that holds the claim."""
        self._owner = owner

    def place(self, index: int, guard: int, worker: str) -> None:
        """Count a placement of a task at a guard."""
        task = self._tasks[index]
        base = self._owner * ATTEMPTS_PER_OWNER
        task.attempt = max(task.attempt, base) + 1
        task.waiting.attempt = task.attempt - base
        task.guard = guard
        task.worker = worker
        task.starter = self._owner
        task.adopted = False
        task.placement = Placement.POSTED

    def adopt(self, index: int, guard: int, worker: str, starter: int) -> None:
        """Take over a task that a guard accepted from an earlier owner."""
        task = self._tasks[index]
        task.starter = starter
        task.adopted = True
        task.guard = guard
        task.worker = worker
        task.attempt = self._owner * ATTEMPTS_PER_OWNER
        task.placement = Placement.SENT

    def unplace(self, index: int) -> None:
        """Return a task that provably did not run to the queue."""
        self._tasks[index].placement = Placement.WAITING

    def resolve(self, outcome: TaskOutcome) -> bool:
        """Record the outcome of a task; false when it has one already."""
        task = self._tasks[outcome.index]
        if task.outcome is not None:
            return False
        task.outcome = self._checked(outcome)
        task.placement = Placement.RESOLVED
        task.payload = b''
        self._open -= 1
        if self._open == 0:
            self._resolved.set()
            self._ended.set()
        return True

    def fail_task(self, index: int, failure: Failure) -> bool:
        """Record that a task has no result."""
        return self.resolve(
            TaskOutcome(
                index,
                None,
                failure.reason,
                failure.run_state,
                failure.detail,
            ),
        )

    def disclaim_not_run(self, failure: Failure) -> None:
        """Withdraw every ``not_run``, which could not be recorded."""
        for task in self._tasks:
            outcome = task.outcome
            if outcome and outcome.run_state is RunState.NOT_RUN:
                task.outcome = TaskOutcome(
                    outcome.index,
                    None,
                    failure.reason,
                    RunState.MAY_HAVE_RUN,
                    failure.detail,
                )

    def unresolved(self) -> list[JobTask]:
        """Return the open tasks."""
        return [task for task in self._tasks if task.outcome is None]

    def outcomes(self) -> list[TaskOutcome]:
        """Return the known outcomes by index."""
        return [task.outcome for task in self._tasks if task.outcome]

    def final_answer(self) -> Answer:
        """Return the answer of a resolved job: complete or failed."""
        return final_answer(self.job_id, self.outcomes(), self.closing)

    def publish(self, answer: Answer) -> None:
        """Hand the answer to every caller that waits."""
        if self._answer is None:
            self._answer = answer
            self._answered.set()

    def stop(self, reason: FailureReason) -> None:
        """End the job early: cancelled, or its incarnation ended."""
        if self._stopped is None:
            self._stopped = reason
            self._ended.set()

    async def wait_ended(self) -> FailureReason:
        """Wait until every task is resolved or the job is stopped.

        Returns why the job was stopped; without meaning when it is resolved.
        """
        await self._ended.wait()
        return self._stopped or FailureReason.CANCELLED

    async def wait_resolved(self) -> None:
        """Wait until every task is resolved."""
        await self._resolved.wait()

    async def wait_answered(self) -> Answer:
        """Wait for the answer."""
        await self._answered.wait()
        assert self._answer is not None  # noqa: S101
        return self._answer

    def _checked(self, outcome: TaskOutcome) -> TaskOutcome:
        if outcome.result is None:
            return outcome
        self._result_bytes += len(outcome.result)
        if self._result_bytes > MAX_ANSWER_BYTES:
            return _lost_result(outcome, 'the answer is too large')
        try:
            _result_decoder.decode(outcome.result)
        except (msgspec.DecodeError, RecursionError):
            return _lost_result(outcome, 'the result is not JSON')
        return outcome


def _tasks_of(
    request: JobRequest,
    now_ms: Milliseconds,
    deadline_ms: Milliseconds,
) -> tuple[JobTask, ...]:
    return tuple(
        JobTask(
            WaitingTask(
                request.job_id,
                index,
                request.service,
                task.kind,
                request.urgent,
                task.idempotent,
                deadline_ms,
                now_ms,
            ),
            bytes(task.payload),
        )
        for index, task in enumerate(request.tasks)
    )


def _lost_result(outcome: TaskOutcome, detail: str) -> TaskOutcome:
    return TaskOutcome(
        outcome.index,
        None,
        FailureReason.RESULT_LOST,
        RunState.RAN,
        detail,
        outcome.run_ms,
    )
