"""Virtual time, links and runners around the product's decision objects."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from bench.policies.workload import SLOTS, Deployment, Job
from borageward.clock import Milliseconds
from borageward.configuration import Configuration, Limits, Service
from borageward.failures import Failure
from borageward.messages.guard import GuardLoad
from borageward.policy.adaptive_dispatch import (
    AdaptiveDispatchPolicy,
    DispatchParts,
)
from borageward.policy.announcing import BudgetedAnnouncer, LoadAnnouncer
from borageward.policy.class_scheduler import ClassSlotScheduler
from borageward.policy.dispatch import JobNeed, WaitingTask
from borageward.policy.scheduler import GuardTask, SlotScheduler

CLAIM_MS = 5
GUARD_LEASE_MS = 3000
FAILURE_MS = 5


class EventHeap:
    """Calls functions in order of virtual time."""

    def __init__(self) -> None:
        """Start at time zero."""
        self._heap: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._numbers = itertools.count()
        self.now_ms: Milliseconds = 0

    def at(
        self,
        time_ms: Milliseconds,
        call: Callable[..., None],
        *arguments: object,
    ) -> None:
        """Call a function at a time."""
        entry = (time_ms, next(self._numbers), call, arguments)
        heapq.heappush(self._heap, entry)

    def after(
        self,
        delay_ms: Milliseconds,
        call: Callable[..., None],
        *arguments: object,
    ) -> None:
        """Call a function after a delay."""
        self.at(self.now_ms + delay_ms, call, *arguments)

    def run(self) -> None:
        """Run until nothing is left."""
        while self._heap:
            self.now_ms, _, call, arguments = heapq.heappop(self._heap)
            call(*arguments)


@attrs.define(eq=False)
class Counts:
    """Messages and starts of a run."""

    tasks: int = 0
    starts_messages: int = 0
    extra_messages: int = 0
    starts: int = 0
    lies: int = 0
    starts_of: dict[str, int] = attrs.Factory(dict)
    largest_queue: int = 0
    retries: int = 0


@attrs.frozen
class Setup:
    """Choices of one run."""

    deployment: Deployment
    limits: Limits = attrs.Factory(Limits)
    parts: Callable[[random.Random], DispatchParts] = lambda _source: (
        DispatchParts()
    )
    scheduler: Callable[[int, Limits], SlotScheduler] = ClassSlotScheduler
    announcer: Callable[[Limits], LoadAnnouncer[Entry]] = BudgetedAnnouncer
    failing: str = ''
    failing_from_ms: float = 0
    failure_share: float = 0
    services: tuple[Service, ...] = ()


class Cluster:
    """Entries and guards that share virtual time."""

    def __init__(self, setup: Setup, seed: int) -> None:
        """Link every entry to every guard."""
        self.setup = setup
        self.events = EventHeap()
        self.counts = Counts()
        self.source = random.Random(seed)
        self.started: set[tuple[bytes, int]] = set()
        deployment = setup.deployment
        places = deployment.places
        self.guards = [
            Guard(self, f'worker-{number}', places[number % len(places)], speed)
            for number, speed in enumerate(deployment.speeds)
        ]
        self.entries = [
            Entry(self, number, places[number % len(places)])
            for number in range(deployment.entries)
        ]

    def delay_ms(self, one: str, other: str) -> float:
        """Return the one-way delay between two places."""
        return 0.1 if one == other else self.setup.deployment.place_delay_ms

    def run(self, jobs: list[Job]) -> None:
        """Run all jobs to their end."""
        for job in jobs:
            job.left = len(job.sizes_ms)
            arrival = job.arrival_ms + self.setup.deployment.client_delay_ms
            self.events.at(arrival, self._arrive, job)
        self.events.run()

    def _arrive(self, job: Job) -> None:
        self.entries[job.entry].submit(job)


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
        self.at_guard: dict[tuple[bytes, int], tuple[Guard, WaitingTask]] = {}
        self.wake_ms = float('inf')
        services = {one.name: one for one in setup.services}
        self.policy.configure(
            Configuration(services, (), setup.limits, approval_required=False),
            setup.deployment.entries,
        )
        for guard in self.cluster.guards:
            if guard.alive:
                guard.announcer.told(self, guard.scheduler.load(leaving=False))
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
        key: tuple[bytes, int],
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
        keys: list[tuple[bytes, int]],
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

    def fail(self, job: Job) -> None:
        """End a job: cancel what waits and withdraw what is queued."""
        self.jobs.pop(job.job_id, None)
        job.failed = True
        self.policy.cancel(job.job_id)
        by_guard: dict[Guard, list[tuple[bytes, int]]] = {}
        for index in range(len(job.sizes_ms)):
            key = (job.job_id, index)
            if key in self.at_guard:
                guard = self.at_guard[key][0]
                by_guard.setdefault(guard, []).append(key)
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
        return self.cluster.setup.deployment.service

    def _guard(self, worker: str) -> Guard:
        return self.cluster.guards[int(worker.rsplit('-', 1)[1])]


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
        self.accepted: dict[tuple[bytes, int], Accepted] = {}
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

    def _announce(self) -> None:
        load = self.scheduler.load(leaving=False)
        for entry in self.announcer.due(load):
            self.cluster.counts.extra_messages += 1
            delay = self.cluster.delay_ms(self.place, entry.place)
            self.cluster.events.after(delay, entry.announced, self, load)

    def withdraw(self, entry: Entry, keys: list[tuple[bytes, int]]) -> None:
        """Handle a withdrawal; the answer lists what did not run."""
        if self.frozen or not self.alive:
            return
        removed = [key for key in keys if self.scheduler.withdraw(*key)]
        if removed:
            epoch = self.accepted[removed[0]].epoch
            self._refuse(entry, epoch, removed)

    def lose(self) -> None:
        """Die; entries learn of it when the lease has ended."""
        self.alive = False
        for entry in self.cluster.entries:
            self.cluster.events.after(GUARD_LEASE_MS, entry.lost_guard, self)

    def _fill(self) -> None:
        now_ms = self.cluster.events.now_ms
        late: dict[tuple[Entry, int], list[tuple[bytes, int]]] = {}
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
        if key in cluster.started:
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
        if self.frozen:
            self.cluster.events.after(100, self._end, accepted, run_ms, failed)
            return
        task = accepted.task
        self.scheduler.release(task, run_ms)
        self._fill()
        entry = accepted.entry
        key = (task.job_id, task.index)
        self.accepted.pop(key)
        self.announcer.told(entry, self.scheduler.load(leaving=False))
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
        keys: list[tuple[bytes, int]],
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
