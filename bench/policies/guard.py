"""Simulated guard with its runner."""

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
# Run time of a task that fails.
FAILURE_MS = 5


@attrs.define(eq=False)
class Accepted:
    """Task accepted by a guard, with the entry that sent it.

    ``epoch`` is that of the entry when it sent the task.
    """

    entry: Entry
    epoch: int
    job: Job
    task: GuardTask


class Guard:
    """Simulated guard and runner that use a real slot scheduler."""

    def __init__(
        self,
        cluster: Cluster,
        worker: str,
        place: str,
        speed: float,
    ) -> None:
        """Create an idle guard; ``speed`` divides the run times."""
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
        """Handle a start message with tasks of one job."""
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
            self._report_not_run(entry, epoch, refused)
        self._start_queued_tasks()
        self._announce_load()

    def withdraw(self, entry: Entry, keys: list[TaskKey]) -> None:
        """Handle a withdrawal.

        The answer lists the tasks that were still queued and thus did not run.
        """
        if self.frozen or not self.alive:
            return
        removed = [key for key in keys if self.scheduler.withdraw(*key)]
        if removed:
            epoch = self.accepted[removed[0]].epoch
            self._report_not_run(entry, epoch, removed)

    def freeze(self) -> None:
        """Stop responding for good, with the same effect as a crash."""
        self.frozen = True
        self.crash()

    def crash(self) -> None:
        """Stop without notice; entries detect it when the lease expires."""
        self.alive = False
        for entry in self.cluster.entries:
            self.cluster.events.call_after(
                GUARD_LEASE_MS, entry.handle_lost_guard, self
            )

    def _announce_load(self) -> None:
        load = self.scheduler.load(leaving=False)
        for entry in self.announcer.due(load):
            self.cluster.counts.extra_messages += 1
            delay = self.cluster.delay_ms(self.place, entry.place)
            self.cluster.events.call_after(
                delay, entry.handle_announcement, self, load
            )

    def _start_queued_tasks(self) -> None:
        now_ms = self.cluster.events.now_ms
        expired_keys: dict[Any, list[TaskKey]] = {}
        for task in self.scheduler.expired(now_ms):
            key = (task.job_id, task.index)
            accepted_task = self.accepted[key]
            expired_keys.setdefault(
                (accepted_task.entry, accepted_task.epoch), []
            ).append(key)
        for (entry, epoch), keys in expired_keys.items():
            self._report_not_run(entry, epoch, keys)
        started = self.scheduler.take(now_ms)
        while started is not None:
            self._start_run(self.accepted[(started.job_id, started.index)])
            started = self.scheduler.take(now_ms)

    def _start_run(self, accepted: Accepted) -> None:
        cluster = self.cluster
        task = accepted.task
        key = (task.job_id, task.index)
        if key in cluster.started_tasks or key in cluster.not_run_tasks:
            cluster.counts.wrong_run_states += 1
        cluster.started_tasks.add(key)
        cluster.counts.starts += 1
        failed = self._run_fails(accepted.job)
        if cluster.setup.failing_from_ms <= cluster.events.now_ms:
            starts = cluster.counts.starts_by_worker
            starts[self.worker] = starts.get(self.worker, 0) + 1
        run_ms = accepted.job.sizes_ms[task.index] / self.speed
        if failed:
            run_ms = FAILURE_MS
        begun_ms = cluster.events.now_ms
        accepted.job.busy_periods.append((begun_ms, begun_ms + run_ms))
        cluster.events.call_after(
            run_ms, self._finish_run, accepted, run_ms, failed
        )

    def _run_fails(self, job: Job) -> bool:
        setup = self.cluster.setup
        if job.poison:
            return True
        if self.worker == setup.failing_worker:
            return self.cluster.events.now_ms >= setup.failing_from_ms
        return self.cluster.source.random() < setup.failure_share

    def _finish_run(
        self, accepted: Accepted, run_ms: float, failed: bool
    ) -> None:
        if not self.alive:
            return
        task = accepted.task
        self.scheduler.release(task, run_ms)
        self._start_queued_tasks()
        entry = accepted.entry
        key = (task.job_id, task.index)
        self.accepted.pop(key)
        self.announcer.load_sent(entry, self.scheduler.load(leaving=False))
        self._announce_load()
        self.cluster.events.call_after(
            self.cluster.delay_ms(self.place, entry.place),
            entry.handle_result,
            self,
            key,
            run_ms,
            failed,
            self.scheduler.load(leaving=False),
            accepted.epoch,
        )

    def _report_not_run(
        self,
        entry: Entry,
        epoch: int,
        keys: list[TaskKey],
    ) -> None:
        self.cluster.counts.extra_messages += 1
        for key in keys:
            self.accepted.pop(key, None)
        self.cluster.events.call_after(
            self.cluster.delay_ms(self.place, entry.place),
            entry.handle_not_run,
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
