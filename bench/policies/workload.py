"""Simulated deployments and the random jobs that they receive."""

from __future__ import annotations

import itertools
import random

import attrs

SLOTS = 8
RUNNERS = 10
SLOWEST_SPEED = 0.5
SPEED_SPREAD = 4
LONG_FACTOR = 50
MAX_TASKS = 150
URGENT_MAX_TASKS = 15
URGENT_SHARE = 0.1
LONG_MAX_TASKS = 5
# Name, shortest and longest run time in milliseconds of each kind of short
# task. Run times are uniform in this range and apply to a runner of speed 1.
KINDS = (
    ('confirm', 50, 350),
    ('stock', 100, 700),
    ('reassign', 300, 1000),
)
LONG_KIND = 'replan'
URGENT_DEADLINE_MS = 2000
DEADLINE_MS = 5000
LONG_DEADLINE_MS = 200_000


@attrs.frozen
class Deployment:
    """Places, one-way delays and number of entries of a deployment."""

    name: str
    service: str
    places: tuple[str, ...]
    place_delay_ms: float
    client_delay_ms: float
    entries: int

    @property
    def speeds(self) -> tuple[float, ...]:
        """Return the speeds of the runners, in even ratios from 1 to 4."""
        last = RUNNERS - 1
        return tuple(
            SLOWEST_SPEED * SPEED_SPREAD ** (number / last)
            for number in range(RUNNERS)
        )

    @property
    def capacity(self) -> float:
        """Return the task time at speed 1 that is processed per unit time."""
        return SLOTS * sum(self.speeds)


SALT = Deployment(
    'salt',
    'dispatch',
    ('nadi-depot', 'lautoka-yard', 'sigatoka-shed', 'nadrau-pass'),
    0.5,
    3,
    4,
)
SWELL = Deployment(
    'swell',
    'forecast',
    ('portland', 'st-thomas', 'kingston'),
    1,
    1,
    3,
)


@attrs.frozen
class Load:
    """Demand over time and mix of the jobs.

    ``level`` and ``peak_factor`` are multiples of the capacity; the latter
    applies during the load peak. ``long_share`` is the share of long tasks;
    ``hidden_share`` is the part of these that occurs in jobs of short kinds.
    ``poison_share`` is the share of short jobs whose runs always fail.
    """

    level: float = 0.7
    duration_ms: float = 240_000
    warm_up_ms: float = 30_000
    long_share: float = 0.01
    hidden_share: float = 0
    peak_start_ms: float = 0
    peak_duration_ms: float = 0
    peak_factor: float = 3
    poison_share: float = 0


@attrs.define(eq=False)
class Job:
    """Job of a workload and its outcome in one simulation run.

    ``deadline_ms`` counts from the arrival. ``sizes_ms`` holds the run time of
    each task at speed 1. ``entry`` is the index of the entry that gets the
    job. ``busy_periods`` holds start and end of each run, in milliseconds.
    """

    number: int
    arrival_ms: float
    kind: str
    urgent: bool
    deadline_ms: float
    sizes_ms: tuple[float, ...]
    poison: bool = False
    service: str = ''
    entry: int = 0
    unfinished_tasks: int = 0
    answered_ms: float | None = None
    refused: bool = False
    failed: bool = False
    busy_periods: list[tuple[float, float]] = attrs.Factory(list)

    @property
    def job_id(self) -> bytes:
        """Return the job number as an id of 16 bytes."""
        return self.number.to_bytes(16, 'big')

    @property
    def is_long(self) -> bool:
        """Return whether the job is of the long kind."""
        return self.kind == LONG_KIND

    @property
    def response_ms(self) -> float:
        """Return the time from arrival to answer of an answered job."""
        assert self.answered_ms is not None
        return self.answered_ms - self.arrival_ms

    @property
    def in_time(self) -> bool:
        """Return whether the complete answer arrived by the deadline."""
        return (
            self.answered_ms is not None
            and self.answered_ms <= self.arrival_ms + self.deadline_ms
        )


def make_jobs(deployment: Deployment, load: Load, seed: int) -> list[Job]:
    """Return random jobs in order of arrival.

    Arrivals follow a Poisson process whose rate is set by ``load``.
    """
    source = random.Random(seed)
    sample_source = random.Random(1)
    sample = [_job(sample_source, load, 0, 0) for _ in range(4000)]
    mean_ms = sum(sum(job.sizes_ms) for job in sample) / len(sample)
    jobs: list[Job] = []
    now_ms: float = 0
    for number in itertools.count():
        work_rate = deployment.capacity * _demand_factor(load, now_ms)
        now_ms += source.expovariate(work_rate / mean_ms)
        if now_ms > load.duration_ms:
            break
        jobs.append(_job(source, load, number, now_ms))
        jobs[-1].entry = source.randrange(deployment.entries)
    return jobs


def _demand_factor(load: Load, now_ms: float) -> float:
    """Return the demand at a time in multiples of the capacity."""
    since_ms = now_ms - load.peak_start_ms
    if since_ms >= 0 and since_ms < load.peak_duration_ms:
        return load.peak_factor
    return load.level


def _job(source: random.Random, load: Load, number: int, now_ms: float) -> Job:
    if source.random() < _long_job_share(load):
        task_count = source.randint(1, LONG_MAX_TASKS)
        sizes = [
            LONG_FACTOR * source.uniform(50, 1000) for _ in range(task_count)
        ]
        return Job(
            number,
            now_ms,
            LONG_KIND,
            urgent=False,
            deadline_ms=LONG_DEADLINE_MS,
            sizes_ms=tuple(sizes),
        )
    urgent = source.random() < URGENT_SHARE
    max_tasks = URGENT_MAX_TASKS if urgent else MAX_TASKS
    task_count = int(max_tasks ** source.random())
    kind, low, high = source.choice(KINDS)
    sizes = [source.uniform(low, high) for _ in range(task_count)]
    hidden_task_share = load.hidden_share * load.long_share
    return Job(
        number,
        now_ms,
        kind,
        urgent=urgent,
        deadline_ms=URGENT_DEADLINE_MS if urgent else DEADLINE_MS,
        sizes_ms=tuple(
            LONG_FACTOR * size if source.random() < hidden_task_share else size
            for size in sizes
        ),
        poison=source.random() < load.poison_share,
    )


def _long_job_share(load: Load) -> float:
    """Return the share of long jobs for a given share of long tasks.

    Tasks that are hidden in jobs of short kinds are left out.
    """
    long_task_share = load.long_share * (1 - load.hidden_share)
    # Approximate mean number of tasks of a short job.
    mean_short_tasks = 27.5
    mean_long_tasks = (1 + LONG_MAX_TASKS) / 2
    return (
        long_task_share
        * mean_short_tasks
        / (
            mean_long_tasks * (1 - long_task_share)
            + long_task_share * mean_short_tasks
        )
    )
