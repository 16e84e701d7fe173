"""Cancellations that an entry reports to the control replicas."""

from __future__ import annotations

import itertools

import attrs
import trio

from borageward.clock import Clock, Milliseconds
from borageward.messages.discovery import Cancellation

# Replicas that could not be reached get a report as long as it may still be of
# use: after that the job has ended or its caller has sent it again.
_RETENTION_MS = 5000.0
# Cancellations beyond this number are not accepted.
_MAX_REPORTS = 5000
# Time for replicas that do not answer to be found out, so that the others form
# a majority.
_ACCEPT_TIMEOUT_MS = 1000.0
_MS_PER_SECOND = 1000.0


@attrs.define(slots=True, eq=False)
class _Report:
    job_id: str
    cancelled_ms: Milliseconds
    accepted_by: set[str] = attrs.field(factory=set)
    accepted: trio.Event = attrs.field(factory=trio.Event)


@attrs.frozen(slots=True)
class ReportBatch:
    """Reports to send with one call; ``numbers`` identify them."""

    numbers: tuple[int, ...]
    cancellations: tuple[Cancellation, ...]


class CancellationReports:
    """Cancellations of jobs that other entries may have in progress.

    Each one is sent to every replica with the next call to it. It is accepted
    once a majority of the replicas that answer have it: another entry that
    reaches most of them then reads it, also after the loss of one.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a store without reports."""
        self._clock = clock
        self._numbers = itertools.count()
        self._reports: dict[int, _Report] = {}
        # Numbers of the reports to send to each replica, oldest first.
        self._unsent: dict[str, dict[int, None]] = {}
        self._news: dict[str, trio.Event] = {}
        self._answering: set[str] = set()

    async def report(self, job_id: str) -> bool:
        """Report a cancellation to all replicas.

        Returns whether it was accepted within one second. Otherwise some
        replicas may have it, and it is still sent to the others.
        """
        accepted = self.add(job_id)
        if accepted is None:
            return False
        with trio.move_on_after(_ACCEPT_TIMEOUT_MS / _MS_PER_SECOND):
            await accepted.wait()
        return accepted.is_set()

    def add(self, job_id: str) -> trio.Event | None:
        """Report a cancellation without waiting.

        Returns an event that is set once the report is accepted, or ``None``
        when there are too many reports.
        """
        self._expire()
        if len(self._reports) >= _MAX_REPORTS:
            return None
        report = _Report(job_id, self._clock.now_ms())
        number = next(self._numbers)
        self._reports[number] = report
        for address, unsent in self._unsent.items():
            unsent[number] = None
            self._news[address].set()
        return report.accepted

    def add_replica(self, address: str) -> None:
        """Prepare to send reports to a replica, also the recent ones."""
        self._unsent[address] = dict.fromkeys(self._reports)
        self._news[address] = trio.Event()

    def batch(self, address: str) -> ReportBatch:
        """Return the reports that a replica has not accepted."""
        self._expire()
        self._news[address] = trio.Event()
        now_ms = self._clock.now_ms()
        numbers = tuple(self._unsent[address])
        reports = [self._reports[number] for number in numbers]
        return ReportBatch(
            numbers,
            tuple(
                Cancellation(report.job_id, now_ms - report.cancelled_ms)
                for report in reports
            ),
        )

    def handle_answer(self, address: str, batch: ReportBatch) -> None:
        """Note that a replica has accepted a batch."""
        self._answering.add(address)
        for number in batch.numbers:
            self._unsent[address].pop(number, None)
            report = self._reports.get(number)
            if report is not None:
                report.accepted_by.add(address)
                self._check(report)

    def handle_failure(self, address: str) -> None:
        """Note that a replica does not answer or accepts no reports.

        It may have restarted, so it gets all recent reports again.
        """
        self._unsent[address] = dict.fromkeys(self._reports)
        self._answering.discard(address)
        for report in self._reports.values():
            self._check(report)

    async def wait_for_news(
        self,
        address: str,
        timeout_ms: Milliseconds,
    ) -> None:
        """Wait until there is a new report for a replica that answers."""
        if address not in self._answering:
            await self._clock.sleep_ms(timeout_ms)
            return
        with trio.move_on_after(timeout_ms / _MS_PER_SECOND):
            await self._news[address].wait()

    def _check(self, report: _Report) -> None:
        accepted = report.accepted_by & self._answering
        if 2 * len(accepted) > len(self._answering):
            report.accepted.set()

    def _expire(self) -> None:
        oldest_ms = self._clock.now_ms() - _RETENTION_MS
        expired = list(
            itertools.takewhile(
                lambda number: self._reports[number].cancelled_ms < oldest_ms,
                self._reports,
            )
        )
        for number in expired:
            self._reports.pop(number)
            for unsent in self._unsent.values():
                unsent.pop(number, None)
