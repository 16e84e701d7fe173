"""Simulated entry."""

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

# Time from the admission of a job to the answer of its claim.
CLAIM_MS = 5


class Entry:
    """Simulated entry that uses the real dispatch policy."""

    def __init__(self, cluster: Cluster, number: int, place: str) -> None:
        """Create an entry whose new policy knows all live guards."""
        self.cluster = cluster
        self.number = number
        self.place = place
        self.epoch = 0
        self.restart()

    def restart(self) -> None:
        """Discard all state, as a restart of the process does.

        Results and refusals sent to an earlier epoch are ignored.
        """
        setup = self.cluster.setup
        self.epoch += 1
        source = random.Random(self.cluster.source.random())
        self.policy = AdaptiveDispatchPolicy(
            self.place,
            source,
            setup.parts(source),
        )
        self.jobs: dict[bytes, Job] = {}
        self.placed_tasks: dict[TaskKey, tuple[Guard, WaitingTask]] = {}
        self.wake_ms = float('inf')
        services = {service.name: service for service in setup.services}
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
        """Admit or refuse a job; its tasks are enqueued after the claim."""
        now_ms = self.cluster.events.now_ms
        remaining_ms = job.arrival_ms + job.deadline_ms - now_ms
        need = JobNeed(
            job.job_id,
            self._service_of(job),
            job.urgent,
            remaining_ms,
            (job.kind,) * len(job.sizes_ms),
        )
        if self.policy.admit(need, now_ms) is not None:
            job.refused = True
            return
        self.jobs[job.job_id] = job
        self.cluster.events.call_after(
            CLAIM_MS, self._enqueue_claimed, job, self.epoch
        )

    def handle_result(
        self,
        guard: Guard,
        key: TaskKey,
        run_ms: float,
        failed: bool,
        load: GuardLoad,
        epoch: int,
    ) -> None:
        """Handle the result of a task from a guard."""
        if epoch != self.epoch:
            return
        self.policy.load_reported(guard.worker, load)
        _, task = self.placed_tasks.pop(key)
        self.policy.task_finished(guard.worker, task, run_ms, failed)
        job = self.jobs.get(key[0])
        if job is not None and failed:
            self.fail_job(job)
        elif job is not None:
            self._count_result(job)
        self.run_policy()

    def handle_announcement(self, guard: Guard, load: GuardLoad) -> None:
        """Handle the announcement of a guard's load."""
        self.policy.load_reported(guard.worker, load)
        if self.policy.queued_tasks:
            self.run_policy()

    def handle_not_run(
        self,
        guard: Guard,
        keys: list[TaskKey],
        load: GuardLoad,
        epoch: int,
    ) -> None:
        """Handle a report of tasks that a guard did not run."""
        if epoch != self.epoch:
            return
        now_ms = self.cluster.events.now_ms
        self.policy.load_reported(guard.worker, load)
        for key in keys:
            _, task = self.placed_tasks.pop(key)
            if key in self.cluster.started_tasks:
                self.cluster.counts.wrong_run_states += 1
            job = self.jobs.get(key[0])
            if job is None:
                self.cluster.not_run_tasks.add(key)
                self.policy.task_lost(guard.worker, task)
                continue
            failure = self.policy.task_not_run(guard.worker, task, now_ms)
            if failure is None:
                self.cluster.counts.retries += 1
            else:
                self.fail_job(job)
        self.run_policy()

    def handle_lost_guard(self, guard: Guard) -> None:
        """Handle the expiry of a guard's lease; jobs with tasks there fail."""
        self.policy.remove_guard(guard.worker)
        for key, (placed_guard, task) in list(self.placed_tasks.items()):
            if placed_guard is guard:
                self.placed_tasks.pop(key)
                self.policy.task_lost(guard.worker, task)
                job = self.jobs.get(key[0])
                if job is not None:
                    self.fail_job(job)
        self.run_policy()

    def cancel_half_of_jobs(self) -> None:
        """Cancel every second open job, as if its caller gave up."""
        for job in list(self.jobs.values())[::2]:
            self.fail_job(job)
        self.run_policy()

    def fail_job(self, job: Job) -> None:
        """Fail a job: cancel waiting tasks and withdraw placed ones."""
        self.jobs.pop(job.job_id, None)
        job.failed = True
        for task in self.policy.cancel(job.job_id):
            self.cluster.not_run_tasks.add((task.job_id, task.index))
        by_guard: dict[Guard, list[TaskKey]] = {}
        for index, _ in enumerate(job.sizes_ms):
            key = (job.job_id, index)
            placed = self.placed_tasks.get(key)
            if placed is not None:
                by_guard.setdefault(placed[0], []).append(key)
        for guard, keys in by_guard.items():
            self.cluster.counts.extra_messages += 1
            delay = self.cluster.delay_ms(self.place, guard.place)
            self.cluster.events.call_after(delay, guard.withdraw, self, keys)

    def run_policy(self) -> None:
        """Apply the policy's decisions: fail expired jobs, start tasks."""
        events = self.cluster.events
        now_ms = events.now_ms
        for task in self.policy.expired(now_ms):
            expired = self.jobs.get(task.job_id)
            if expired is not None:
                self.fail_job(expired)
        for assignment in self.policy.assignments(now_ms):
            guard = self._guard_of(assignment.worker)
            self.cluster.counts.start_messages += 1
            delay = self.cluster.delay_ms(self.place, guard.place)
            for task in assignment.tasks:
                self.placed_tasks[(task.job_id, task.index)] = (guard, task)
            jobs = self.jobs[assignment.job_id]
            events.call_after(
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
            self.cluster.events.call_at(
                wake_ms, self._wake, wake_ms, self.epoch
            )

    def _wake(self, wake_ms: float, epoch: int) -> None:
        if wake_ms == self.wake_ms and epoch == self.epoch:
            self.wake_ms = float('inf')
            self.run_policy()

    def _enqueue_claimed(self, job: Job, epoch: int) -> None:
        if epoch != self.epoch or job.failed:
            job.failed = True
            return
        now_ms = self.cluster.events.now_ms
        self.cluster.counts.tasks += len(job.sizes_ms)
        tasks = [
            WaitingTask(
                job.job_id,
                index,
                self._service_of(job),
                job.kind,
                job.urgent,
                idempotent=True,
                deadline_ms=job.arrival_ms + job.deadline_ms,
                enqueued_ms=now_ms,
            )
            for index in range(len(job.sizes_ms))
        ]
        self.policy.enqueue(tasks, now_ms)
        self.run_policy()

    def _count_result(self, job: Job) -> None:
        job.unfinished_tasks -= 1
        if job.unfinished_tasks:
            return
        client_ms = self.cluster.setup.deployment.client_delay_ms
        job.answered_ms = self.cluster.events.now_ms + client_ms
        self.jobs.pop(job.job_id)

    def _service_of(self, job: Job) -> str:
        return job.service or self.cluster.setup.deployment.service

    def _guard_of(self, worker: str) -> Guard:
        return self.cluster.guards[int(worker.rsplit('-', 1)[1])]
