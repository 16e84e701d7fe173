"""Admission of tasks: each is accepted, or refused with a reason."""

from __future__ import annotations

import attrs

from borageward.clock import Milliseconds
from borageward.failures import Failure, FailureReason
from borageward.guard.ledger import JobRecord
from borageward.guard.link import EntryLink
from borageward.guard.state import GuardState
from borageward.guard.tasks import AcceptedTask
from borageward.messages.guard import StartTasks, TasksRefused
from borageward.messages.task import TaskSpec
from borageward.policy.scheduler import GuardTask
from borageward.telemetry import EventLog, log_attempts
from borageward.telemetry.events import TASK_START_RECEIVED


@attrs.define(slots=True)
class _Refusals:
    """Refused task indexes of one message, by reason and attempt."""

    indexes: dict[tuple[FailureReason, int], list[int]] = attrs.field(
        factory=dict,
    )

    def add(self, spec: TaskSpec, reason: FailureReason) -> None:
        key = (reason, spec.attempt)
        self.indexes.setdefault(key, []).append(spec.index)


class Admission:
    """Handles ``StartTasks``; each task of a job starts at most once."""

    def __init__(self, state: GuardState, log: EventLog) -> None:
        """Create the handler of ``StartTasks`` for one guard."""
        self._state = state
        self._log = log

    def start(self, link: EntryLink, message: StartTasks) -> None:
        """Accept or refuse each task of a message.

        Results of tasks that have already finished are sent again. Refusals
        are sent on the link.
        """
        record = self._state.ledger.read(message.job_id)
        refusals = _Refusals()
        if self._sender_fenced(record, message.incarnation):
            self._refuse_fenced(record, message, refusals)
        else:
            self._admit_tasks(link, record, message, refusals)
            self._state.ledger.write(message.job_id, record)
        self._post_refusals(link, message, refusals)

    def _sender_fenced(self, record: JobRecord, incarnation: int) -> bool:
        if self._state.fences.is_fenced(incarnation):
            return True
        return incarnation in record.former_owners

    def _refuse_fenced(
        self,
        record: JobRecord,
        message: StartTasks,
        refusals: _Refusals,
    ) -> None:
        for spec in message.tasks:
            accepted_task = self._state.tasks.find((message.job_id, spec.index))
            # A refusal states that the task did not run, which is false for a
            # task that is accepted or has started.
            if accepted_task is None and spec.index not in record.started:
                refusals.add(spec, FailureReason.INCARNATION_FENCED)

    def _admit_tasks(
        self,
        link: EntryLink,
        record: JobRecord,
        message: StartTasks,
        refusals: _Refusals,
    ) -> None:
        self._state.assign_owner(message.job_id, record, message.incarnation)
        for accepted_task in self._state.tasks.of_job(message.job_id):
            accepted_task.link = link
        now_ms = self._state.clock.now_ms()
        accepted: list[tuple[int, int]] = []
        for spec in message.tasks:
            key = (message.job_id, spec.index)
            if self._state.tasks.find(key) is not None:
                continue
            if spec.index in record.started:
                link.push_result(key)
                continue
            refused = self._admit_task(link, record, message, spec, now_ms)
            if refused is None:
                accepted.append((spec.index, spec.attempt))
            else:
                record.fence_attempt(spec.index, spec.attempt)
                refusals.add(spec, refused.reason)
        log_attempts(
            self._log,
            TASK_START_RECEIVED,
            message.job_id,
            accepted,
        )

    def _admit_task(
        self,
        link: EntryLink,
        record: JobRecord,
        message: StartTasks,
        spec: TaskSpec,
        now_ms: Milliseconds,
    ) -> Failure | None:
        if not record.may_start(spec.index, spec.attempt):
            return Failure(FailureReason.WITHDRAWN)
        refused = self._state.refusal()
        if refused is not None:
            return refused
        if message.remaining_ms <= 0:
            return Failure(FailureReason.DEADLINE_EXCEEDED)
        task = _guard_task(message, spec, now_ms)
        refused = self._state.scheduler.offer(task, now_ms)
        if refused is None:
            self._state.tasks.add(
                AcceptedTask(task, message.incarnation, spec.attempt, link),
            )
        return refused

    def _post_refusals(
        self,
        link: EntryLink,
        message: StartTasks,
        refusals: _Refusals,
    ) -> None:
        for (reason, attempt), indexes in refusals.indexes.items():
            link.post(
                TasksRefused(
                    message.job_id,
                    tuple(indexes),
                    attempt,
                    reason,
                    self._state.load(),
                ),
            )


def _guard_task(
    message: StartTasks,
    spec: TaskSpec,
    now_ms: Milliseconds,
) -> GuardTask:
    return GuardTask(
        job_id=message.job_id,
        index=spec.index,
        service=message.service,
        kind=spec.kind,
        payload=spec.payload,
        urgent=message.urgent,
        run_class=spec.run_class,
        expected_ms=spec.expected_ms,
        deadline_ms=now_ms + message.remaining_ms,
    )
