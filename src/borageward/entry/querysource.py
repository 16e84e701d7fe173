"""Query snapshots of an entry: its jobs, refusals and linked guards."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

import attrs

from borageward.clock import Clock
from borageward.entry.guardlink import GuardLink
from borageward.entry.job import Job, Placement
from borageward.entry.openjobs import OpenJobs
from borageward.entry.refusals import RecentRefusals
from borageward.entry.startgate import StartGate
from borageward.identity import format_job_id
from borageward.messages.query import (
    EntrySnapshot,
    JobRow,
    JobState,
    WorkerRow,
)

# Taking a snapshot blocks the event loop, so its size is limited.
MAX_SNAPSHOT_TASKS = 50_000

_ASSIGNED = frozenset((Placement.POSTED, Placement.SENT))


@attrs.frozen(slots=True)
class EntryParts:
    """Parts of an entry that a snapshot reads.

    ``name`` and ``place`` are those of the entry; ``links`` holds the links
    to guards by guard incarnation.
    """

    name: str
    place: str
    clock: Clock
    jobs: OpenJobs
    refusals: RecentRefusals
    links: Mapping[int, GuardLink]
    gate: StartGate


class EntryQuerySource:
    """Implements ``QuerySource`` for one entry.

    Of refused jobs only the latest ones that were refused before their claim
    are reported. Whether the policy has ejected a worker is not reported.
    """

    def __init__(self, parts: EntryParts) -> None:
        """Prepare a source that reads the parts of an entry."""
        self._parts = parts

    def snapshot(self) -> EntrySnapshot:
        """Return the current jobs and workers.

        Open jobs are listed up to a total of ``MAX_SNAPSHOT_TASKS`` tasks;
        the others are counted as omitted.
        """
        parts = self._parts
        jobs = list(self._open_jobs())
        omitted = len(parts.jobs) - len(jobs)
        return EntrySnapshot(
            parts.name,
            parts.place,
            parts.gate.incarnation,
            parts.gate.revision,
            (*jobs, *self._refused_jobs()),
            tuple(self._workers()),
            omitted,
        )

    def _open_jobs(self) -> Iterator[JobRow]:
        now_ms = self._parts.clock.now_ms()
        tasks = 0
        for job in self._parts.jobs:
            tasks += len(job.tasks)
            if tasks > MAX_SNAPSHOT_TASKS:
                return
            yield self._open_job(job, now_ms)

    def _open_job(self, job: Job, now_ms: float) -> JobRow:
        assigned = [task for task in job.tasks if task.placement in _ASSIGNED]
        finished = len(job.tasks) - job.open_tasks
        started = assigned or finished or job.forwarded_to
        places = {self._place_of(task.guard) for task in assigned}
        return JobRow(
            format_job_id(job.job_id),
            job.request.service,
            JobState.RUNNING if started else JobState.WAITING,
            now_ms - (job.deadline_ms - job.request.deadline_ms),
            tuple(sorted({task.waiting.kind for task in job.tasks})),
            tuple(sorted(places - {''})),
            tuple(sorted({task.worker for task in assigned})),
            tasks=len(job.tasks),
            finished=finished,
        )

    def _place_of(self, guard: int) -> str:
        link = self._parts.links.get(guard)
        if link is None or link.welcome is None:
            return ''
        return link.welcome.place

    def _refused_jobs(self) -> Iterator[JobRow]:
        now_ms = self._parts.clock.now_ms()
        for refusal in self._parts.refusals:
            yield JobRow(
                format_job_id(refusal.job_id),
                refusal.service,
                JobState.REFUSED,
                now_ms - refusal.refused_ms,
                refusal.kinds,
                reason=refusal.reason,
                tasks=refusal.tasks,
            )

    def _workers(self) -> Iterator[WorkerRow]:
        now_ms = self._parts.clock.now_ms()
        for link in list(self._parts.links.values()):
            welcome = link.welcome
            load = link.load
            if welcome is not None and load is not None:
                yield WorkerRow(
                    link.worker,
                    welcome.place,
                    welcome.service,
                    link.incarnation,
                    load.slots,
                    load.free_slots,
                    load.queued_short + load.queued_long,
                    now_ms - link.load_ms,
                    load.leaving,
                )
