"""State of a job: its tasks, their placements and its answer."""

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

# An answer must fit into one frame between entries.
MAX_ANSWER_BYTES = 12_582_912

# Attempts of an owner are numbered from its incarnation times this. Later
# owners have greater incarnations, so a delayed start of an earlier owner
# always has a lower attempt number.
ATTEMPTS_PER_OWNER = 1024

_result_decoder = msgspec.json.Decoder(msgspec.Raw)


class Placement(enum.Enum):
    """Stage of a task at this entry."""

    # In the queue of the policy, or not yet added to it.
    WAITING = 'waiting'
    # In the outbox of a link; the start has not been written.
    POSTED = 'posted'
    # The start has been or is being written.
    SENT = 'sent'
    # The task has an outcome, possibly a failure.
    RESOLVED = 'resolved'


@attrs.define(slots=True, eq=False)
class JobTask:
    """One task of a job and its current placement.

    ``guard`` is the incarnation of the guard at which the task is placed,
    ``started_by`` the entry incarnation that sent the start. An adopted task
    was started by an earlier owner and is unknown to the policy.
    """

    waiting: WaitingTask
    payload: bytes
    placement: Placement = Placement.WAITING
    guard: int = 0
    worker: str = ''
    attempt: int = 0
    started_by: int = 0
    adopted: bool = False
    outcome: TaskOutcome | None = None

    def spec(self) -> TaskSpec:
        """Return the description of the task to send to a guard."""
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

    Only the first outcome of a task counts; later ones are ignored.
    ``close_reason`` is set when the job is ended early. ``forwarded_to`` is
    the address of the entry that the request was forwarded to, else empty.
    """

    def __init__(self, request: JobRequest, now_ms: Milliseconds) -> None:
        """Create an unclaimed job; its deadline counts from ``now_ms``."""
        self._request = request
        self._deadline_ms = now_ms + request.deadline_ms
        self._owner = 0
        self._tasks = _create_tasks(request, now_ms, self._deadline_ms)
        self._open_count = len(self._tasks)
        self._result_bytes = 0
        self._resolved = trio.Event()
        self._ended = trio.Event()
        self._answered = trio.Event()
        self._answer: Answer | None = None
        self._stop_reason: FailureReason | None = None
        self.close_reason: FailureReason | None = None
        self.forwarded_to = ''

    @property
    def job_id(self) -> JobId:
        """Return the id that the caller gave the job."""
        return self._request.job_id

    @property
    def request(self) -> JobRequest:
        """Return the caller's request."""
        return self._request

    @property
    def deadline_ms(self) -> Milliseconds:
        """Return the deadline in milliseconds of the monotonic clock."""
        return self._deadline_ms

    @property
    def owner(self) -> int:
        """Return the incarnation that claimed the job, zero if unclaimed."""
        return self._owner

    @property
    def tasks(self) -> tuple[JobTask, ...]:
        """Return all tasks, ordered by index."""
        return self._tasks

    @property
    def open_tasks(self) -> int:
        """Return the number of unresolved tasks."""
        return self._open_count

    @property
    def is_resolved(self) -> bool:
        """Return whether every task is resolved."""
        return self._open_count == 0

    def mark_claimed(self, owner: int) -> None:
        """Record the entry incarnation that holds the claim."""
        self._owner = owner

    def place(self, index: int, guard: int, worker: str) -> None:
        """Record a new attempt of a task at a guard, not yet sent."""
        task = self._tasks[index]
        base = self._owner * ATTEMPTS_PER_OWNER
        task.attempt = max(task.attempt, base) + 1
        task.waiting.attempt = task.attempt - base
        task.guard = guard
        task.worker = worker
        task.started_by = self._owner
        task.adopted = False
        task.placement = Placement.POSTED

    def adopt(
        self, index: int, guard: int, worker: str, started_by: int
    ) -> None:
        """Record that a guard holds a task started by an earlier owner."""
        task = self._tasks[index]
        task.started_by = started_by
        task.adopted = True
        task.guard = guard
        task.worker = worker
        task.attempt = self._owner * ATTEMPTS_PER_OWNER
        task.placement = Placement.SENT

    def mark_waiting(self, index: int) -> None:
        """Record that a task waits again, after it provably did not run."""
        self._tasks[index].placement = Placement.WAITING

    def resolve(self, outcome: TaskOutcome) -> bool:
        """Record the outcome of a task.

        Returns false if the task already has an outcome. A result that is not
        valid JSON or exceeds the answer size is replaced by ``result_lost``.
        """
        task = self._tasks[outcome.index]
        if task.outcome is not None:
            return False
        task.outcome = self._validated(outcome)
        task.placement = Placement.RESOLVED
        task.payload = b''
        self._open_count -= 1
        if self._open_count == 0:
            self._resolved.set()
            self._ended.set()
        return True

    def fail_task(self, index: int, failure: Failure) -> bool:
        """Record a failure as the outcome of a task.

        Returns false if the task already has an outcome.
        """
        return self.resolve(
            TaskOutcome(
                index,
                None,
                failure.reason,
                failure.run_state,
                failure.detail,
            ),
        )

    def replace_not_run(self, failure: Failure) -> None:
        """Replace every ``not_run`` outcome by ``may_have_run``.

        Used when the outcome of the job could not be recorded, since a later
        owner may then run the tasks.
        """
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
        """Return the tasks without an outcome, ordered by index."""
        return [task for task in self._tasks if task.outcome is None]

    def outcomes(self) -> list[TaskOutcome]:
        """Return the outcomes of the resolved tasks, ordered by index."""
        return [task.outcome for task in self._tasks if task.outcome]

    def final_answer(self) -> Answer:
        """Return the answer to give once every task is resolved."""
        return final_answer(self.job_id, self.outcomes(), self.close_reason)

    def publish(self, answer: Answer) -> None:
        """Set the answer and wake all waiting callers.

        Has no effect if the job already has an answer.
        """
        if self._answer is None:
            self._answer = answer
            self._answered.set()

    def stop(self, reason: FailureReason) -> None:
        """Request an early end of the job; only the first reason counts."""
        if self._stop_reason is None:
            self._stop_reason = reason
            self._ended.set()

    async def wait_ended(self) -> FailureReason:
        """Wait until every task is resolved or ``stop`` is called.

        Returns the reason given to ``stop``. The value has no meaning if all
        tasks are resolved.
        """
        await self._ended.wait()
        return self._stop_reason or FailureReason.CANCELLED

    async def wait_resolved(self) -> None:
        """Wait until every task is resolved."""
        await self._resolved.wait()

    async def wait_answered(self) -> Answer:
        """Wait until the answer is published and return it."""
        await self._answered.wait()
        assert self._answer is not None  # noqa: S101
        return self._answer

    def _validated(self, outcome: TaskOutcome) -> TaskOutcome:
        if outcome.result is None:
            return outcome
        self._result_bytes += len(outcome.result)
        if self._result_bytes > MAX_ANSWER_BYTES:
            return _lost_result(
                outcome,
                'the results of the job exceed the maximum answer size',
            )
        try:
            _result_decoder.decode(outcome.result)
        except (msgspec.DecodeError, RecursionError):
            return _lost_result(outcome, 'the result is not valid JSON')
        return outcome


def _create_tasks(
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
