"""Cells of the measurement: one run of one variant with one seed."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from types import MappingProxyType

import attrs

from bench.policies.cluster import Cluster
from bench.policies.ideal import ideal_responses
from bench.policies.setup import Setup
from bench.policies.workload import (
    SALT,
    SWELL,
    Deployment,
    Job,
    Load,
    make_jobs,
)
from borageward.configuration import Limits, Service
from borageward.policy.adaptive_dispatch import DispatchParts
from borageward.policy.admission import QueueLengthAdmission
from borageward.policy.announcing import BudgetedAnnouncer
from borageward.policy.outliers import NoOutliers
from borageward.policy.placement import (
    IdlePushPlacement,
    RandomPlacement,
    TwoChoicesPlacement,
)
from borageward.policy.run_times import SingleClassRunTimes
from borageward.policy.shares import NoShares

CREST_START_MS = 40_000
CREST_MS = 10_000
CREST_END_MS = CREST_START_MS + CREST_MS
FAULT_MS = CREST_START_MS + CREST_MS / 2
FAILING_WORKER = 'worker-6'
FLOODED_SHARE = 0.08
DEPLOYMENTS = MappingProxyType({one.name: one for one in (SALT, SWELL)})

CREST = Load(
    duration_ms=75_000,
    warm_up_ms=15_000,
    crest_start_ms=CREST_START_MS,
    crest_ms=CREST_MS,
)
STEADY = Load(duration_ms=150_000, warm_up_ms=20_000)

PARTS: Mapping[str, Callable[[random.Random], DispatchParts]] = (
    MappingProxyType(
        {
            'random': lambda source: DispatchParts(
                placement=RandomPlacement(source)
            ),
            'two choices': lambda source: DispatchParts(
                placement=TwoChoicesPlacement(source),
            ),
            'idle push': lambda source: DispatchParts(
                placement=IdlePushPlacement(source),
            ),
            'queue length admission': lambda _source: DispatchParts(
                admission=QueueLengthAdmission(),
            ),
            'one class': lambda _source: DispatchParts(
                run_times=SingleClassRunTimes(),
            ),
            'no outliers': lambda _source: DispatchParts(outliers=NoOutliers()),
            'no shares': lambda _source: DispatchParts(shares=NoShares()),
        }
    )
)


@attrs.frozen
class Cell:
    """Scenario, deployment, variant and seed of one run."""

    scenario: str
    deployment: str
    variant: str
    seed: int


@attrs.define
class Figures:
    """Named figures of a cell, and response times that cells pool."""

    cell: Cell
    named: dict[str, float]
    after_crest: list[tuple[float, float]] = attrs.Factory(list)
    before_crest: list[float] = attrs.Factory(list)


def quantile(numbers: list[float], share: float) -> float:
    """Return a quantile of some numbers; not a number when there are none."""
    if not numbers:
        return float('nan')
    ordered = sorted(numbers)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


ANNOUNCING = frozenset(('announcements', 'report on every change'))


def run_cell(cell: Cell) -> Figures:
    """Run one cell."""
    deployment = DEPLOYMENTS[cell.deployment]
    return SCENARIOS[cell.scenario](cell, deployment)


def setup_for(cell: Cell, deployment: Deployment, **options: object) -> Setup:
    """Return the setup of a variant."""
    changes: dict[str, object] = {'place_delay_ms': deployment.place_delay_ms}
    if cell.variant == 'report on every change':
        changes['announcements_per_start'] = 4.0
        changes['announced_change_tasks'] = 1
    parts = PARTS.get(cell.variant)
    if parts is not None:
        options['parts'] = parts
    if cell.variant in ANNOUNCING:
        options['announcer'] = BudgetedAnnouncer
    return Setup(deployment, Limits(**changes), **options)


def steady(cell: Cell, deployment: Deployment) -> Figures:
    """Measure response times over the ideal at 70% load."""
    jobs = make_jobs(deployment, STEADY, cell.seed)
    cluster = Cluster(setup_for(cell, deployment), cell.seed)
    cluster.run(jobs)
    ideal = ideal_responses(deployment, jobs)
    counted = [job for job in jobs if job.arrival_ms > STEADY.warm_up_ms]
    answered = [job for job in counted if job.answered_ms is not None]
    ours = [job.response_ms for job in answered]
    theirs = [ideal[job.number] for job in answered]
    counts = cluster.counts
    return Figures(
        cell,
        {
            'median': quantile(ours, 0.5) / quantile(theirs, 0.5),
            'p99': quantile(ours, 0.99) / quantile(theirs, 0.99),
            'extra': counts.extra_messages / counts.tasks,
            'start': counts.starts_messages / counts.tasks,
            'refused': 1 - len(answered) / len(counted),
            'untrue': counts.lies,
        },
    )


def crest(cell: Cell, deployment: Deployment) -> Figures:
    """Measure a demand of three times the capacity for 10 s."""
    load = CREST
    if cell.variant == 'ten times':
        load = attrs.evolve(CREST, crest_factor=10)
    jobs = make_jobs(deployment, load, cell.seed)
    cluster = Cluster(setup_for(cell, deployment), cell.seed)
    _inject(cell.variant, cluster)
    cluster.run(jobs)
    in_crest = [
        job for job in jobs if _is_between(job, CREST_START_MS, CREST_END_MS)
    ]
    urgent = [job for job in in_crest if job.urgent]
    after = [job for job in jobs if job.arrival_ms >= CREST_END_MS]
    before = [
        job for job in jobs if _is_between(job, load.warm_up_ms, CREST_START_MS)
    ]
    return Figures(
        cell,
        {
            'useful': _busy_share([job for job in jobs if job.in_time]),
            'busy': _busy_share(jobs),
            'urgent': sum(job.in_time for job in urgent) / len(urgent),
            'refused': sum(job.refused for job in in_crest) / len(in_crest),
            'late': sum(_is_late(job) for job in jobs) / len(jobs),
            'queue': cluster.counts.largest_queue,
            'extra': cluster.counts.extra_messages / cluster.counts.tasks,
            'untrue': cluster.counts.lies,
        },
        [
            (job.arrival_ms - CREST_END_MS, job.response_ms)
            for job in after
            if job.answered_ms is not None and not job.is_long
        ],
        [
            job.response_ms
            for job in before
            if job.answered_ms is not None and not job.is_long
        ],
    )


def long_work(cell: Cell, deployment: Deployment) -> Figures:
    """Compare short work's p99 with and without long work at 70% load."""
    hidden = 0.1 if cell.variant == 'hidden long work' else 0
    mixed = _short_p99(
        cell, deployment, attrs.evolve(STEADY, hidden_share=hidden)
    )
    alone = _short_p99(cell, deployment, attrs.evolve(STEADY, long_share=0))
    return Figures(cell, {'with over without': mixed / alone})


def failing_worker(cell: Cell, deployment: Deployment) -> Figures:
    """Count the starts that a worker takes that fails all it starts."""
    load = attrs.evolve(STEADY, duration_ms=140_000)
    jobs = make_jobs(deployment, load, cell.seed)
    setup = setup_for(
        cell,
        deployment,
        failing=FAILING_WORKER,
        failing_from_ms=20_000,
        failure_share=0.01,
    )
    cluster = Cluster(setup, cell.seed)
    cluster.run(jobs)
    taken = cluster.counts.starts_of
    answered = sum(job.answered_ms is not None for job in jobs)
    return Figures(
        cell,
        {
            'taken': taken.get(FAILING_WORKER, 0) / sum(taken.values()),
            'answered': answered / len(jobs),
            'untrue': cluster.counts.lies,
        },
    )


def poison_jobs(cell: Cell, deployment: Deployment) -> Figures:
    """Count ejections of healthy workers by jobs that can never run."""
    load = attrs.evolve(STEADY, poison_share=0.05)
    jobs = make_jobs(deployment, load, cell.seed)
    setup = setup_for(cell, deployment, failure_share=0.05)
    cluster = Cluster(setup, cell.seed)
    cluster.run(jobs)
    ejections = sum(
        entry.policy.outliers.ejection_count for entry in cluster.entries
    )
    return Figures(
        cell,
        {'ejections': ejections, 'starts': cluster.counts.starts},
    )


def shares(cell: Cell, deployment: Deployment) -> Figures:
    """Flood one service and measure another that stays within its quota."""
    jobs = make_jobs(deployment, CREST, cell.seed)
    source = random.Random(cell.seed)
    for job in jobs:
        if source.random() < FLOODED_SHARE and not job.is_long:
            job.service = 'quiet'
    setup = setup_for(
        cell,
        deployment,
        services=(
            Service(deployment.service, 20, 1, 5000),
            Service('quiet', 40, 1, 5000),
        ),
    )
    cluster = Cluster(setup, cell.seed)
    cluster.run(jobs)
    quiet = [
        job
        for job in jobs
        if job.service and _is_between(job, CREST_START_MS, CREST_END_MS)
    ]
    in_time = sum(job.in_time for job in quiet)
    return Figures(cell, {'quiet in time': in_time / max(1, len(quiet))})


SCENARIOS = MappingProxyType(
    {
        'steady': steady,
        'crest': crest,
        'long work': long_work,
        'failing worker': failing_worker,
        'poison jobs': poison_jobs,
        'shares': shares,
    }
)


def _inject(variant: str, cluster: Cluster) -> None:
    """Schedule the fault that a variant names."""
    faults = {
        'place lost': _lose_place,
        'guard frozen': _freeze_guard,
        'half of the entries restarted': _restart_entries,
        'cancellation wave': _cancel_jobs,
    }
    fault = faults.get(variant)
    if fault is not None:
        cluster.events.at(FAULT_MS, fault, cluster)


def _lose_place(cluster: Cluster) -> None:
    lost = cluster.guards[0].place
    for guard in cluster.guards:
        if guard.place == lost:
            guard.lose()


def _freeze_guard(cluster: Cluster) -> None:
    cluster.guards[-1].freeze()


def _restart_entries(cluster: Cluster) -> None:
    for entry in cluster.entries[::2]:
        entry.restart()


def _cancel_jobs(cluster: Cluster) -> None:
    for entry in cluster.entries:
        entry.cancel_half()


def _short_p99(cell: Cell, deployment: Deployment, load: Load) -> float:
    jobs = make_jobs(deployment, load, cell.seed)
    Cluster(setup_for(cell, deployment), cell.seed).run(jobs)
    return quantile(
        [
            job.response_ms
            for job in jobs
            if job.answered_ms is not None
            and job.arrival_ms > load.warm_up_ms
            and not job.is_long
            and max(job.sizes_ms) <= 1000
        ],
        0.99,
    )


def _is_between(job: Job, start_ms: float, end_ms: float) -> bool:
    return job.arrival_ms >= start_ms and job.arrival_ms < end_ms


def _is_late(job: Job) -> bool:
    return not job.refused and not job.in_time


def _busy_share(jobs: list[Job]) -> float:
    """Return the share of all slots that jobs held during the crest."""
    held_ms = sum(
        max(0, min(end_ms, CREST_END_MS) - max(start_ms, CREST_START_MS))
        for job in jobs
        for start_ms, end_ms in job.busy
    )
    return held_ms / (80 * CREST_MS)
