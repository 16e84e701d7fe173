"""Settlement: reports, withdrawals, fences and acknowledgements."""

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
    """Answers what became of tasks; an ended entry gets no answer."""

    def __init__(self, state: GuardState) -> None:
        """Prepare settlement of the tasks of a guard."""
        self._state = state

    def withdraw(self, link: EntryLink, message: Withdraw) -> None:
        """Take queued tasks of the sender's attempt back."""
        record = self._state.ledger.read(message.job_id)
        if self._outlived(record, message.incarnation):
            return
        self._state.adopt(message.job_id, record, message.incarnation)
        self._state.ledger.write(message.job_id, record)
        self._withdraw_queued(message)
        self._report(link, message, fence_unseen=True)

    def settle(self, link: EntryLink, message: Settle) -> None:
        """Report tasks, fence unseen ones and move results to the link."""
        record = self._state.ledger.read(message.job_id)
        if self._outlived(record, message.incarnation):
            return
        inherited = message.owner != message.incarnation
        if inherited:
            record.former.add(message.owner)
        self._state.adopt(message.job_id, record, message.incarnation)
        self._state.ledger.write(message.job_id, record)
        for held in self._state.tasks.of_job(message.job_id):
            held.link = link
        if message.withdraw_queued:
            self._withdraw_queued(message)
        # Unseen tasks of an ended owner are fenced by its incarnation, so the
        # new owner's own attempts stay open.
        self._report(link, message, fence_unseen=not inherited)

    def fence(self, link: EntryLink, message: Fence) -> None:
        """Refuse an ended incarnation and list the tasks it started."""
        if self._state.fences.blocks(message.incarnation):
            return
        self._state.fence((message.ended,))
        self._state.fences.record_request(message.incarnation, message.ended)
        lineage = self._state.fences.lineage(message.ended)
        seen = tuple(
            SeenJob(job_id, tuple(sorted(record.started)))
            for job_id, record in self._state.ledger.records()
            if record.started and lineage & {record.owner, *record.former}
        )
        incarnation = self._state.incarnation
        link.post(Fenced(message.ended, incarnation, seen))

    def acknowledge(self, link: EntryLink, message: Acknowledge) -> None:
        """Note the results that the entry of a link has."""
        for job in message.jobs:
            for index in job.indexes:
                key = (job.job_id, index)
                self._state.results.acknowledge(key, link.incarnation)

    def _outlived(self, record: JobRecord, incarnation: int) -> bool:
        if self._state.fences.blocks(incarnation):
            return True
        return incarnation in record.former

    def _withdraw_queued(self, message: Withdraw | Settle) -> None:
        for index in message.indexes:
            held = self._state.tasks.find((message.job_id, index))
            if held is None or held.phase is not TaskPhase.QUEUED:
                continue
            if held.attempt <= message.attempt:
                self._state.take_back(held)

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
                record.raise_floor(index, message.attempt)
            reports.append(report)
        self._state.ledger.write(message.job_id, record)
        link.post(
            Settled(
                message.job_id,
                self._state.incarnation,
                tuple(reports),
                self._state.load(),
            ),
        )

    def _task_report(
        self,
        job_id: bytes,
        record: JobRecord,
        index: int,
    ) -> TaskReport:
        held = self._state.tasks.find((job_id, index))
        if held is not None:
            return TaskReport(index, held.phase)
        if index not in record.started:
            return TaskReport(index, TaskPhase.NOT_RUN)
        outcome = self._state.results.find((job_id, index))
        return TaskReport(
            index,
            TaskPhase.FINISHED,
            outcome or lost_result(index),
        )
