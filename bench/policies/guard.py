"""Fake of a guard and its runner."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from bench.policies.setup import TaskKey
from bench.policies.workload import SLOTS, Job
from borageward.failures import Failure
from borageward.policy.dispatch import WaitingTask
from borageward.policy.scheduler import GuardTask

if TYPE_CHECKING:
    from bench.policies.cluster import Cluster
    from bench.policies.entry import Entry

GUARD_LEASE_MS = 3000
FAILURE_MS = 5


@attrs.define(eq=False)
class Accepted:
    """Task at a guard, with the process that sent it."""

    entry: Entry
    epoch: int
    job: Job
    task: GuardTask


class Guard:
    """Fake of a guard and its runner around a slot scheduler."""

    def __init__(
        self,
        cluster: Cluster,
        worker: str,
        place: str,
        speed: float,
    ) -> None:
        """Start idle."""
        self.cluster = cluster
        self.worker = worker
        self.place = place
        self.speed = speed
        self.alive = True
        self.frozen = False
        limits = cluster.setup.limits
        self.scheduler = cluster.setup.scheduler(SLOTS, limits)
        self.accepted: dict[TaskKey, Accepted] = {}
        self.announcer = cluster.setup.announcer(limits)

    def start(
        self,
        entry: Entry,
        epoch: int,
        job: Job,
        tasks: tuple[WaitingTask, ...],
    ) -> None:
        """Handle a message with starts."""
        if self.frozen or not self.alive:
            return
        now_ms = self.cluster.events.now_ms
        refused = []
        for waiting in tasks:
            task = _guard_task(waiting)
            key = (task.job_id, task.index)
            failure = self.scheduler.offer(task, now_ms)
            if isinstance(failure, Failure):
                refused.append(key)
            else:
                self.accepted[key] = Accepted(entry, epoch, job, task)
        self.announcer.started(len(tasks))
        if refused:
            self._refuse(entry, epoch, refused)
        self._fill()
        self._announce()

    def withdraw(self, entry: Entry, keys: list[TaskKey]) -> None:
        """Handle a withdrawal; the answer lists what did not run."""
        if self.frozen or not self.alive:
            return
        removed = [key for key in keys if self.scheduler.withdraw(*key)]
        if removed:
            epoch = self.accepted[removed[0]].epoch
            self._refuse(entry, epoch, removed)

    def freeze(self) -> None:
        """Stop for good; entries learn of it when the lease has ended."""
        self.frozen = True
        self.lose()

    def lose(self) -> None:
        """Die; entries learn of it when the lease has ended."""
        self.alive = False
        for entry in self.cluster.entries:
            self.cluster.events.after(GUARD_LEASE_MS, entry.lost_guard, self)

    def _announce(self) -> None:
        load = self.scheduler.load(leaving=False)
        for entry in self.announcer.due(load):
            self.cluster.counts.extra_messages += 1
            delay = self.cluster.delay_ms(self.place, entry.place)
            self.cluster.events.after(delay, entry.announced, self, load)

    def _fill(self) -> None:
        now_ms = self.cluster.events.now_ms
        late: dict[Any, list[TaskKey]] = {}
        for task in self.scheduler.expired(now_ms):
            key = (task.job_id, task.index)
            owner = self.accepted[key]
            late.setdefault((owner.entry, owner.epoch), []).append(key)
        for (entry, epoch), keys in late.items():
            self._refuse(entry, epoch, keys)
        started = self.scheduler.take(now_ms)
        while started is not None:
            self._run(self.accepted[(started.job_id, started.index)])
            started = self.scheduler.take(now_ms)

    def _run(self, accepted: Accepted) -> None:
        cluster = self.cluster
        task = accepted.task
        key = (task.job_id, task.index)
        if key in cluster.started or key in cluster.refused:
            cluster.counts.lies += 1
        cluster.started.add(key)
        cluster.counts.starts += 1
        failed = self._fails(accepted.job)
        if cluster.setup.failing_from_ms <= cluster.events.now_ms:
            starts = cluster.counts.starts_of
            starts[self.worker] = starts.get(self.worker, 0) + 1
        run_ms = accepted.job.sizes_ms[task.index] / self.speed
        if failed:
            run_ms = FAILURE_MS
        begun_ms = cluster.events.now_ms
        accepted.job.busy.append((begun_ms, begun_ms + run_ms))
        cluster.events.after(run_ms, self._end, accepted, run_ms, failed)

    def _fails(self, job: Job) -> bool:
        setup = self.cluster.setup
        if job.poison:
            return True
        if self.worker == setup.failing:
            return self.cluster.events.now_ms >= setup.failing_from_ms
        return self.cluster.source.random() < setup.failure_share

    def _end(self, accepted: Accepted, run_ms: float, failed: bool) -> None:
        if not self.alive:
            return
        task = accepted.task
        self.scheduler.release(task, run_ms)
        self._fill()
        entry = accepted.entry
        key = (task.job_id, task.index)
        self.accepted.pop(key)
        self.announcer.load_sent(entry, self.scheduler.load(leaving=False))
        self._announce()
        self.cluster.events.after(
            self.cluster.delay_ms(self.place, entry.place),
            entry.finished,
            self,
            key,
            run_ms,
            failed,
            self.scheduler.load(leaving=False),
            accepted.epoch,
        )

    def _refuse(
        self,
        entry: Entry,
        epoch: int,
        keys: list[TaskKey],
    ) -> None:
        self.cluster.counts.extra_messages += 1
        for key in keys:
            self.accepted.pop(key, None)
        self.cluster.events.after(
            self.cluster.delay_ms(self.place, entry.place),
            entry.refused,
            self,
            keys,
            self.scheduler.load(leaving=False),
            epoch,
        )


def _guard_task(waiting: WaitingTask) -> GuardTask:
    return GuardTask(
        job_id=waiting.job_id,
        index=waiting.index,
        service=waiting.service,
        kind=waiting.kind,
        payload=b'',
        urgent=waiting.urgent,
        run_class=waiting.run_class,
        expected_ms=waiting.expected_ms,
        deadline_ms=waiting.deadline_ms,
    )
