"""Simulation of peak load on unequal endpoints, in virtual time.

The load is that of the worst periods of simulated days: 88 jobs a second for
6 s on 9 endpoints, three of which are slow. A job has 8 short, 2 medium or 4
long tasks. Entries receive the room of an endpoint with a delay. A run without
room waits at the endpoint's guard, which starts waiting runs by rank. The
policies are those of the product.
"""

from __future__ import annotations

import heapq
import itertools
import random

import attrs

from borageward.messages.runs import Demand
from borageward.policy.run_admission import Backlog, should_refuse
from borageward.policy.run_order import (
    RunGoal,
    job_goal_ms,
    slack_ms,
)
from borageward.policy.run_placement import Candidate, PlacementNeed

DURATION_MS = 6000
JOBS_PER_S = 88
CPU_MILLI = 1600
MEMORY_MB = 64
ENDPOINTS = 9
# Share of jobs whose run time is multiplied by TAIL_FACTOR.
TAIL_SHARE = 0.03
TAIL_FACTOR = 7
SLOW_FACTOR = 1.82
FAST_FACTOR = 0.83
CAPACITIES_MILLI = (16_000, 16_000, 24_000)
# Delay from the end of a run to its report, from a report to its arrival at an
# entry, and from an order of an entry to the start of the run.
REPORT_DELAY_MS = 4
STATE_DELAY_MS = 4
START_DELAY_MS = 4
STATE_INTERVAL_MS = 30


@attrs.frozen
class Kind:
    """One kind of job.

    ``share`` is its share of all jobs, ``work_ms`` the mean run time of a task
    at nominal speed, before the factor for long-running jobs.
    """

    name: str
    share: float
    tasks: int
    work_ms: float
    priority: int


KINDS = (
    Kind('short', 0.245, 8, 102, 0),
    Kind('medium', 0.711, 2, 340, 1),
    Kind('long', 0.044, 4, 1520, 2),
)


@attrs.define(eq=False)
class SimulatedJob:
    """A job; ``tasks_left`` counts its tasks that have not ended.

    ``ordered`` is set once one of them has been sent to a guard.
    """

    kind: Kind
    goal: RunGoal
    work_ms: float
    estimate_ms: float
    tasks_left: int
    ordered: bool = False
    ended_ms: float = 0


@attrs.define(eq=False)
class SimulatedGuard:
    """The guard of one endpoint.

    Capacities are in thousandths of a core. ``running`` is the demand of the
    running runs, and ``claimed`` that of the running and the waiting ones.
    """

    capacity: int
    slowness: float
    running: int = 0
    claimed: int = 0
    queue: list = attrs.field(factory=list)

    @property
    def room(self):
        """Return the room that the guard reports; negative if runs wait."""
        return self.capacity - self.claimed


@attrs.define(eq=False)
class SimulatedEntry:
    """Waiting tasks of an entry, and its last known room of each endpoint."""

    rooms: list
    waiting: list = attrs.field(factory=list)


def draw_job(source, at_ms):
    """Return a random job that arrives at a time, with a rough estimate."""
    weights = [kind.share for kind in KINDS]
    kind = source.choices(KINDS, weights)[0]
    work_ms = kind.work_ms * source.lognormvariate(-0.08, 0.4)
    if source.random() < TAIL_SHARE:
        work_ms *= TAIL_FACTOR
    estimate_ms = work_ms * source.lognormvariate(-0.08, 0.4)
    duration_ms = job_goal_ms(1.6, 60, estimate_ms)
    goal = RunGoal(
        at_ms,
        at_ms + duration_ms,
        at_ms + 3 * duration_ms,
        kind.priority,
    )
    return SimulatedJob(kind, goal, work_ms, estimate_ms, kind.tasks)


class PeakLoad:
    """Simulation of one load under a placement and an order of tasks."""

    def __init__(
        self,
        placement,
        order,
        *,
        refuses=True,
        seed=1,
        jobs_per_s=JOBS_PER_S,
        entries=1,
    ):
        self._source = random.Random(seed)
        self._placement = placement
        self._order = order
        self._refuses = refuses
        self._jobs_per_s = jobs_per_s
        self._guards = [
            SimulatedGuard(
                CAPACITIES_MILLI[number % 3],
                SLOW_FACTOR if number % 3 == 0 else FAST_FACTOR,
            )
            for number in range(ENDPOINTS)
        ]
        self._entries = [
            SimulatedEntry([guard.capacity for guard in self._guards])
            for _ in range(entries)
        ]
        self._events = []
        self._sequence = itertools.count()
        self._now_ms = 0
        self.jobs = []

    def run(self):
        """Run the simulation and return the share of jobs on time by kind."""
        self._add_arrivals()
        for entry in self._entries:
            self._push(0, self._report_rooms, entry)
        while self._events:
            event = heapq.heappop(self._events)
            self._now_ms = event[0]
            event[2](*event[3])
        return {kind.name: self._on_time(kind) for kind in KINDS}

    def _push(self, at_ms, action, *args):
        number = next(self._sequence)
        heapq.heappush(self._events, (at_ms, number, action, args))

    def _add_arrivals(self):
        at_ms = 0
        while at_ms < DURATION_MS:
            at_ms += self._source.expovariate(self._jobs_per_s / 1000)
            job = draw_job(self._source, at_ms)
            self.jobs.append(job)
            entry = self._source.choice(self._entries)
            self._push(at_ms, self._add_job, job, entry)

    def _add_job(self, job, entry):
        entry.waiting.extend(job for _ in range(job.kind.tasks))
        self._dispatch(entry)

    def _report_rooms(self, entry):
        """Send an entry the current rooms, which arrive after a delay."""
        rooms = [guard.room for guard in self._guards]
        self._push(
            self._now_ms + STATE_DELAY_MS,
            self._update_rooms,
            entry,
            rooms,
        )
        if self._now_ms < 2 * DURATION_MS:
            next_ms = self._now_ms + STATE_INTERVAL_MS
            self._push(next_ms, self._report_rooms, entry)

    def _update_rooms(self, entry, rooms):
        entry.rooms = list(rooms)
        self._dispatch(entry)

    def _update_room(self, entry, number, room):
        entry.rooms[number] = room
        self._dispatch(entry)

    def _dispatch(self, entry):
        candidates = [
            self._candidate(entry, number) for number in range(ENDPOINTS)
        ]
        unplaced = []
        for job in sorted(entry.waiting, key=self._rank):
            if not self._place(job, entry, candidates):
                unplaced.append(job)
        entry.waiting = self._drop_refused(unplaced)

    def _candidate(self, entry, number):
        guard = self._guards[number]
        return Candidate(
            str(number),
            frozenset(),
            Demand(guard.capacity, 10**6),
            Demand(entry.rooms[number], 10**6),
            guard.slowness,
            0,
        )

    def _rank(self, job):
        return self._order(job, self._now_ms)

    def _drop_refused(self, unplaced):
        """Return the jobs that keep waiting, without those refused."""
        kept = []
        ahead_cpu_ms = 0
        refused = set()
        for job in unplaced:
            if job in refused or self._is_excess(job, ahead_cpu_ms):
                refused.add(job)
                continue
            kept.append(job)
            ahead_cpu_ms += job.estimate_ms * CPU_MILLI / 1000
        return kept

    def _is_excess(self, job, ahead_cpu_ms):
        if job.ordered or not self._refuses:
            return False
        cores = sum(
            guard.capacity / 1000 / guard.slowness for guard in self._guards
        )
        backlog = Backlog(ahead_cpu_ms, cores / len(self._entries))
        return should_refuse(job.goal, job.estimate_ms, backlog, self._now_ms)

    def _place(self, job, entry, candidates):
        need = PlacementNeed(
            Demand(CPU_MILLI, MEMORY_MB),
            job.estimate_ms,
            job.goal.goal_ms - self._now_ms,
        )
        chosen = self._placement.choose(need, candidates)
        if chosen is None:
            return False
        job.ordered = True
        chosen.reserve(need.demand)
        number = int(chosen.name)
        entry.rooms[number] -= CPU_MILLI
        rank = self._rank(job)
        at_ms = self._now_ms + START_DELAY_MS
        self._push(at_ms, self._queue_run, number, rank, job, entry)
        return True

    def _queue_run(self, number, rank, job, entry):
        guard = self._guards[number]
        guard.claimed += CPU_MILLI
        heapq.heappush(guard.queue, (rank, next(self._sequence), job, entry))
        self._start_queued_runs(number)

    def _start_queued_runs(self, number):
        guard = self._guards[number]
        while guard.queue and guard.running + CPU_MILLI <= guard.capacity:
            job, entry = heapq.heappop(guard.queue)[2:]
            guard.running += CPU_MILLI
            end_ms = (
                self._now_ms + job.work_ms * guard.slowness + REPORT_DELAY_MS
            )
            self._push(end_ms, self._end_run, number, job, entry)

    def _end_run(self, number, job, entry):
        guard = self._guards[number]
        guard.running -= CPU_MILLI
        guard.claimed -= CPU_MILLI
        job.tasks_left -= 1
        if not job.tasks_left:
            job.ended_ms = self._now_ms
        self._start_queued_runs(number)
        at_ms = self._now_ms + STATE_DELAY_MS
        self._push(at_ms, self._update_room, entry, number, guard.room)

    def _on_time(self, kind):
        jobs = [job for job in self.jobs if job.kind is kind]
        return sum(_meets_goal(job) for job in jobs) / len(jobs)


def _meets_goal(job):
    took_ms = job.ended_ms - job.goal.arrived_ms
    return 0 < took_ms <= job_goal_ms(1.6, 60, job.work_ms)


def by_slack(job, now_ms):
    """Return the rank of a job by slack, as in the product."""
    return now_ms + slack_ms(job.goal, job.estimate_ms, now_ms)


def by_arrival(job, now_ms):
    """Return the rank of a job by arrival, as a baseline."""
    return job.goal.arrived_ms
