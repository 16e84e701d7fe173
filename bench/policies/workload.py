"""The two deployments and the jobs that reach them."""

from __future__ import annotations

import itertools
import random

import attrs

SLOTS = 8
RUNNERS = 10
SLOWEST = 0.5
SPEED_SPREAD = 4
LONG_FACTOR = 50
MAX_TASKS = 150
URGENT_MAX_TASKS = 15
URGENT_SHARE = 0.1
LONG_MAX_TASKS = 5
# Run times at speed 1 in milliseconds, uniform in a range for each kind.
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
    """Places, delays in milliseconds and number of entries."""

    name: str
    service: str
    places: tuple[str, ...]
    place_delay_ms: float
    client_delay_ms: float
    entries: int

    @property
    def speeds(self) -> tuple[float, ...]:
        """Return the speeds of the runners, spread 1:4."""
        last = RUNNERS - 1
        return tuple(
            SLOWEST * SPEED_SPREAD ** (number / last)
            for number in range(RUNNERS)
        )

    @property
    def capacity(self) -> float:
        """Return the run time at speed 1 that is done in a millisecond."""
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
    """Shape of the demand; ``crest_factor`` is in multiples of capacity."""

    level: float = 0.7
    duration_ms: float = 240_000
    warm_up_ms: float = 30_000
    long_share: float = 0.01
    hidden_share: float = 0
    crest_start_ms: float = 0
    crest_ms: float = 0
    crest_factor: float = 3
    poison_share: float = 0


@attrs.define(eq=False)
class Job:
    """Job of a workload and its outcome in one run.

    ``sizes_ms`` are the run times at speed 1.
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
    left: int = 0
    answered_ms: float | None = None
    refused: bool = False
    failed: bool = False
    busy: list[tuple[float, float]] = attrs.Factory(list)

    @property
    def job_id(self) -> bytes:
        """Return an id of the length that the product uses."""
        return self.number.to_bytes(16, 'big')

    @property
    def is_long(self) -> bool:
        """Tell whether the job is of the long kind."""
        return self.kind == LONG_KIND

    @property
    def response_ms(self) -> float:
        """Return the time from arrival to the answer."""
        assert self.answered_ms is not None
        return self.answered_ms - self.arrival_ms

    @property
    def in_time(self) -> bool:
        """Tell whether the whole answer arrived within the deadline."""
        return (
            self.answered_ms is not None
            and self.answered_ms <= self.arrival_ms + self.deadline_ms
        )


def make_jobs(deployment: Deployment, load: Load, seed: int) -> list[Job]:
    """Return the jobs of a run in order of arrival."""
    source = random.Random(seed)
    probe = random.Random(1)
    sample = [_job(probe, load, 0, 0) for _ in range(4000)]
    mean_ms = sum(sum(job.sizes_ms) for job in sample) / len(sample)
    jobs: list[Job] = []
    now_ms: float = 0
    for number in itertools.count():
        work_rate = deployment.capacity * _demand(load, now_ms)
        now_ms += source.expovariate(work_rate / mean_ms)
        if now_ms > load.duration_ms:
            break
        jobs.append(_job(source, load, number, now_ms))
        jobs[-1].entry = source.randrange(deployment.entries)
    return jobs


def _demand(load: Load, now_ms: float) -> float:
    """Return the demand at a time in multiples of the capacity."""
    since_ms = now_ms - load.crest_start_ms
    if since_ms >= 0 and since_ms < load.crest_ms:
        return load.crest_factor
    return load.level


def _job(source: random.Random, load: Load, number: int, now_ms: float) -> Job:
    if source.random() < _long_job_share(load):
        count = source.randint(1, LONG_MAX_TASKS)
        sizes = [LONG_FACTOR * source.uniform(50, 1000) for _ in range(count)]
        return Job(
            number,
            now_ms,
            LONG_KIND,
            urgent=False,
            deadline_ms=LONG_DEADLINE_MS,
            sizes_ms=tuple(sizes),
        )
    urgent = source.random() < URGENT_SHARE
    largest = URGENT_MAX_TASKS if urgent else MAX_TASKS
    count = int(largest ** source.random())
    kind, low, high = source.choice(KINDS)
    sizes = [source.uniform(low, high) for _ in range(count)]
    hidden = load.hidden_share * load.long_share
    return Job(
        number,
        now_ms,
        kind,
        urgent=urgent,
        deadline_ms=URGENT_DEADLINE_MS if urgent else DEADLINE_MS,
        sizes_ms=tuple(
            LONG_FACTOR * size if source.random() < hidden else size
            for size in sizes
        ),
        poison=source.random() < load.poison_share,
    )


def _long_job_share(load: Load) -> float:
    """Return the share of jobs that makes ``long_share`` of the tasks."""
    tasks = load.long_share * (1 - load.hidden_share)
    short_tasks = 27.5
    long_tasks = (1 + LONG_MAX_TASKS) / 2
    return (
        tasks * short_tasks / (long_tasks * (1 - tasks) + tasks * short_tasks)
    )
