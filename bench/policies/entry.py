"""Fake of an entry."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from bench.policies.setup import TaskKey
from bench.policies.workload import Job
from borageward.configuration import Configuration
from borageward.messages.guard import GuardLoad
from borageward.policy.adaptive_dispatch import AdaptiveDispatchPolicy
from borageward.policy.dispatch import JobNeed, WaitingTask

if TYPE_CHECKING:
    from bench.policies.cluster import Cluster
    from bench.policies.guard import Guard

CLAIM_MS = 5


class Entry:
    """Fake of an entry around a dispatch policy."""

    def __init__(self, cluster: Cluster, number: int, place: str) -> None:
        """Start with a policy that has learnt nothing."""
        self.cluster = cluster
        self.number = number
        self.place = place
        self.epoch = 0
        self.restart()

    def restart(self) -> None:
        """Lose all state; answers to the old process are dropped."""
        setup = self.cluster.setup
        self.epoch += 1
        source = random.Random(self.cluster.source.random())
        self.policy = AdaptiveDispatchPolicy(
            self.place,
            source,
            setup.parts(source),
        )
        self.jobs: dict[bytes, Job] = {}
        self.at_guard: dict[TaskKey, tuple[Guard, WaitingTask]] = {}
        self.wake_ms = float('inf')
        services = {one.name: one for one in setup.services}
        self.policy.configure(
            Configuration(services, (), setup.limits, approval_required=False),
            setup.deployment.entries,
        )
        for guard in self.cluster.guards:
            if guard.alive:
                guard.announcer.load_sent(
                    self, guard.scheduler.load(leaving=False)
                )
                self.policy.add_guard(
                    guard.worker,
                    guard.place,
                    '*',
                    guard.scheduler.load(leaving=False),
                )

    def submit(self, job: Job) -> None:
        """Admit or refuse a job; an admitted one is claimed first."""
        now_ms = self.cluster.events.now_ms
        remaining_ms = job.arrival_ms + job.deadline_ms - now_ms
        need = JobNeed(
            job.job_id,
            self._service(job),
            job.urgent,
            remaining_ms,
            (job.kind,) * len(job.sizes_ms),
        )
        if self.policy.admit(need, now_ms) is not None:
            job.refused = True
            return
        self.jobs[job.job_id] = job
        self.cluster.events.after(CLAIM_MS, self._claimed, job, self.epoch)

    def finished(
        self,
        guard: Guard,
        key: TaskKey,
        run_ms: float,
        failed: bool,
        load: GuardLoad,
        epoch: int,
    ) -> None:
        """Handle an answer of a guard."""
        if epoch != self.epoch:
            return
        self.policy.load_reported(guard.worker, load)
        _, task = self.at_guard.pop(key)
        self.policy.task_finished(guard.worker, task, run_ms, failed)
        job = self.jobs.get(key[0])
        if job is not None and failed:
            self.fail(job)
        elif job is not None:
            self._count_down(job)
        self.step()

    def announced(self, guard: Guard, load: GuardLoad) -> None:
        """Handle a load announcement."""
        self.policy.load_reported(guard.worker, load)
        if self.policy.queued_tasks:
            self.step()

    def refused(
        self,
        guard: Guard,
        keys: list[TaskKey],
        load: GuardLoad,
        epoch: int,
    ) -> None:
        """Handle tasks that a guard did not run."""
        if epoch != self.epoch:
            return
        now_ms = self.cluster.events.now_ms
        self.policy.load_reported(guard.worker, load)
        for key in keys:
            _, task = self.at_guard.pop(key)
            if key in self.cluster.started:
                self.cluster.counts.lies += 1
            job = self.jobs.get(key[0])
            if job is None:
                self.cluster.refused.add(key)
                self.policy.task_lost(guard.worker, task)
                continue
            failure = self.policy.task_not_run(guard.worker, task, now_ms)
            if failure is None:
                self.cluster.counts.retries += 1
            else:
                self.fail(job)
        self.step()

    def lost_guard(self, guard: Guard) -> None:
        """Handle the end of a guard's lease."""
        self.policy.remove_guard(guard.worker)
        for key, (where, task) in list(self.at_guard.items()):
            if where is guard:
                self.at_guard.pop(key)
                self.policy.task_lost(guard.worker, task)
                job = self.jobs.get(key[0])
                if job is not None:
                    self.fail(job)
        self.step()

    def cancel_half(self) -> None:
        """Cancel every second open job, as callers that give up do."""
        for job in list(self.jobs.values())[::2]:
            self.fail(job)
        self.step()

    def fail(self, job: Job) -> None:
        """End a job: cancel what waits and withdraw what is queued."""
        self.jobs.pop(job.job_id, None)
        job.failed = True
        for task in self.policy.cancel(job.job_id):
            self.cluster.refused.add((task.job_id, task.index))
        by_guard: dict[Guard, list[TaskKey]] = {}
        for index, _ in enumerate(job.sizes_ms):
            key = (job.job_id, index)
            placed = self.at_guard.get(key)
            if placed is not None:
                by_guard.setdefault(placed[0], []).append(key)
        for guard, keys in by_guard.items():
            self.cluster.counts.extra_messages += 1
            delay = self.cluster.delay_ms(self.place, guard.place)
            self.cluster.events.after(delay, guard.withdraw, self, keys)

    def step(self) -> None:
        """Ask the policy what to do now."""
        events = self.cluster.events
        now_ms = events.now_ms
        for task in self.policy.expired(now_ms):
            expired = self.jobs.get(task.job_id)
            if expired is not None:
                self.fail(expired)
        for assignment in self.policy.assignments(now_ms):
            guard = self._guard(assignment.worker)
            self.cluster.counts.starts_messages += 1
            delay = self.cluster.delay_ms(self.place, guard.place)
            for task in assignment.tasks:
                self.at_guard[(task.job_id, task.index)] = (guard, task)
            jobs = self.jobs[assignment.job_id]
            events.after(
                delay,
                guard.start,
                self,
                self.epoch,
                jobs,
                assignment.tasks,
            )
        counts = self.cluster.counts
        queued = self.policy.queued_tasks
        counts.largest_queue = max(counts.largest_queue, queued)
        self._schedule_wake(now_ms)

    def _schedule_wake(self, now_ms: float) -> None:
        wake_ms = self.policy.next_wake_ms(now_ms)
        if wake_ms is None:
            return
        wake_ms = max(wake_ms, now_ms + 1)
        if self.wake_ms <= now_ms or wake_ms < self.wake_ms:
            self.wake_ms = wake_ms
            self.cluster.events.at(wake_ms, self._wake, wake_ms, self.epoch)

    def _wake(self, wake_ms: float, epoch: int) -> None:
        if wake_ms == self.wake_ms and epoch == self.epoch:
            self.wake_ms = float('inf')
            self.step()

    def _claimed(self, job: Job, epoch: int) -> None:
        if epoch != self.epoch or job.failed:
            job.failed = True
            return
        now_ms = self.cluster.events.now_ms
        self.cluster.counts.tasks += len(job.sizes_ms)
        tasks = [
            WaitingTask(
                job.job_id,
                index,
                self._service(job),
                job.kind,
                job.urgent,
                idempotent=True,
                deadline_ms=job.arrival_ms + job.deadline_ms,
                enqueued_ms=now_ms,
            )
            for index in range(len(job.sizes_ms))
        ]
        self.policy.enqueue(tasks, now_ms)
        self.step()

    def _count_down(self, job: Job) -> None:
        job.left -= 1
        if job.left:
            return
        client_ms = self.cluster.setup.deployment.client_delay_ms
        job.answered_ms = self.cluster.events.now_ms + client_ms
        self.jobs.pop(job.job_id)

    def _service(self, job: Job) -> str:
        return job.service or self.cluster.setup.deployment.service

    def _guard(self, worker: str) -> Guard:
        return self.cluster.guards[int(worker.rsplit('-', 1)[1])]
