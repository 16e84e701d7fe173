"""Handling of ``Withdraw``, ``Settle``, ``Fence`` and ``Acknowledge``."""

from __future__ import annotations

from borageward.guard.ledger import JobRecord
from borageward.guard.link import EntryLink
from borageward.guard.results import lost_result
from borageward.guard.state import GuardState
from borageward.messages.guard import (
    Acknowledge,
    Fence,
    Fenced,
    SeenJob,
    Settle,
    Settled,
    Withdraw,
)
from borageward.messages.task import TaskPhase, TaskReport


class Settlement:
    """Reports the state of tasks to entries and withdraws queued tasks.

    Requests of a fenced entry incarnation get no reply, nor do requests about
    a job of which the sender is a former owner.
    """

    def __init__(self, state: GuardState) -> None:
        """Create the message handler of one guard."""
        self._state = state

    def withdraw(self, link: EntryLink, message: Withdraw) -> None:
        """Cancel queued tasks and reply with ``Settled``.

        Only tasks of the given attempt or an earlier one are cancelled. Tasks
        never seen here are fenced at that attempt.
        """
        record = self._state.ledger.read(message.job_id)
        if self._sender_superseded(record, message.incarnation):
            return
        self._state.assign_owner(message.job_id, record, message.incarnation)
        self._state.ledger.write(message.job_id, record)
        self._withdraw_queued(message)
        self._report(link, message, fence_unseen=True)

    def settle(self, link: EntryLink, message: Settle) -> None:
        """Reply with ``Settled`` and make the sender the owner of the job.

        Later results of the job are sent on the link. Tasks never seen here
        are fenced at the given attempt, except in a takeover.
        """
        record = self._state.ledger.read(message.job_id)
        if self._sender_superseded(record, message.incarnation):
            return
        is_takeover = message.owner != message.incarnation
        if is_takeover:
            record.former_owners.add(message.owner)
        self._state.assign_owner(message.job_id, record, message.incarnation)
        self._state.ledger.write(message.job_id, record)
        for accepted_task in self._state.tasks.of_job(message.job_id):
            accepted_task.link = link
        if message.withdraw_queued:
            self._withdraw_queued(message)
        # In a takeover, starts of the former owner are refused for its
        # incarnation. Fencing attempt numbers as well would also refuse
        # attempts of the new owner, which numbers its attempts anew.
        self._report(link, message, fence_unseen=not is_takeover)

    def fence(self, link: EntryLink, message: Fence) -> None:
        """Fence an ended entry incarnation and reply with ``Fenced``.

        The reply lists the started tasks of all jobs that were owned by the
        incarnation or by one that it had fenced at this guard.
        """
        if self._state.fences.is_fenced(message.incarnation):
            return
        self._state.fence((message.ended,))
        self._state.fences.record_request(message.incarnation, message.ended)
        owners = self._state.fences.with_predecessors(message.ended)
        seen = tuple(
            SeenJob(job_id, tuple(sorted(record.started)))
            for job_id, record in self._state.ledger.records()
            if record.started and owners & {record.owner, *record.former_owners}
        )
        incarnation = self._state.incarnation
        link.post(Fenced(message.ended, incarnation, seen))

    def acknowledge(self, link: EntryLink, message: Acknowledge) -> None:
        """Mark results as received by the entry of the link."""
        for job in message.jobs:
            for index in job.indexes:
                key = (job.job_id, index)
                self._state.results.acknowledge(key, link.incarnation)

    def _sender_superseded(self, record: JobRecord, incarnation: int) -> bool:
        if self._state.fences.is_fenced(incarnation):
            return True
        return incarnation in record.former_owners

    def _withdraw_queued(self, message: Withdraw | Settle) -> None:
        for index in message.indexes:
            accepted_task = self._state.tasks.find((message.job_id, index))
            if (
                accepted_task is None
                or accepted_task.phase is not TaskPhase.QUEUED
            ):
                continue
            if accepted_task.attempt <= message.attempt:
                self._state.cancel_queued(accepted_task)

    def _report(
        self,
        link: EntryLink,
        message: Withdraw | Settle,
        *,
        fence_unseen: bool,
    ) -> None:
        record = self._state.ledger.read(message.job_id)
        reports = []
        for index in message.indexes:
            report = self._task_report(message.job_id, record, index)
            if report.phase is TaskPhase.NOT_RUN and fence_unseen:
                record.fence_attempt(index, message.attempt)
            reports.append(report)
        self._state.ledger.write(message.job_id, record)
        link.post(
            Settled(
                message.job_id,
                self._state.incarnation,
                tuple(reports),
                self._state.load(),
                message.attempt,
            ),
        )

    def _task_report(
        self,
        job_id: bytes,
        record: JobRecord,
        index: int,
    ) -> TaskReport:
        accepted_task = self._state.tasks.find((job_id, index))
        if accepted_task is not None:
            return TaskReport(index, accepted_task.phase)
        if index not in record.started:
            return TaskReport(index, TaskPhase.NOT_RUN)
        outcome = self._state.results.find((job_id, index))
        return TaskReport(
            index,
            TaskPhase.FINISHED,
            outcome or lost_result(index),
        )
