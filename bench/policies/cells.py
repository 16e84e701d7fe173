"""Simulation runs, called cells: one scenario and variant with one seed.

The names of scenarios, variants and figures are printed in the report, which
calls the load peak "crest".
"""

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

PEAK_START_MS = 40_000
PEAK_DURATION_MS = 10_000
PEAK_END_MS = PEAK_START_MS + PEAK_DURATION_MS
FAULT_MS = PEAK_START_MS + PEAK_DURATION_MS / 2
FAILING_WORKER = 'worker-6'
QUIET_JOB_SHARE = 0.08
DEPLOYMENTS = MappingProxyType(
    {deployment.name: deployment for deployment in (SALT, SWELL)}
)

PEAK_LOAD = Load(
    duration_ms=75_000,
    warm_up_ms=15_000,
    peak_start_ms=PEAK_START_MS,
    peak_duration_ms=PEAK_DURATION_MS,
)
STEADY_LOAD = Load(duration_ms=150_000, warm_up_ms=20_000)

PARTS_BY_VARIANT: Mapping[str, Callable[[random.Random], DispatchParts]] = (
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
    """Figures of a cell by name, and response times to pool over seeds.

    ``after_peak`` holds pairs of the arrival after the end of the load peak
    and the response time; ``before_peak`` holds response times. All are in
    milliseconds.
    """

    cell: Cell
    by_name: dict[str, float]
    after_peak: list[tuple[float, float]] = attrs.Factory(list)
    before_peak: list[float] = attrs.Factory(list)


def quantile(numbers: list[float], share: float) -> float:
    """Return the number below which ``share`` of the numbers lie.

    ``share`` is between 0 and 1. Returns NaN for an empty list.
    """
    if not numbers:
        return float('nan')
    ordered = sorted(numbers)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


ANNOUNCING_VARIANTS = frozenset(('announcements', 'report on every change'))


def run_cell(cell: Cell) -> Figures:
    """Run the scenario of a cell; raise ``KeyError`` for unknown names."""
    deployment = DEPLOYMENTS[cell.deployment]
    return SCENARIOS[cell.scenario](cell, deployment)


def setup_for(cell: Cell, deployment: Deployment, **options: object) -> Setup:
    """Return the setup of a variant, with ``options`` as other fields."""
    changes: dict[str, object] = {'place_delay_ms': deployment.place_delay_ms}
    if cell.variant == 'report on every change':
        changes['announcements_per_start'] = 4.0
        changes['announced_change_tasks'] = 1
    parts = PARTS_BY_VARIANT.get(cell.variant)
    if parts is not None:
        options['parts'] = parts
    if cell.variant in ANNOUNCING_VARIANTS:
        options['announcer'] = BudgetedAnnouncer
    return Setup(deployment, Limits(**changes), **options)


def measure_steady_load(cell: Cell, deployment: Deployment) -> Figures:
    """Measure response times relative to the ideal at 70% load.

    ``refused`` is the share of jobs without an answer.
    """
    jobs = make_jobs(deployment, STEADY_LOAD, cell.seed)
    cluster = Cluster(setup_for(cell, deployment), cell.seed)
    cluster.run(jobs)
    ideal = ideal_responses(deployment, jobs)
    counted = [job for job in jobs if job.arrival_ms > STEADY_LOAD.warm_up_ms]
    answered = [job for job in counted if job.answered_ms is not None]
    simulated_ms = [job.response_ms for job in answered]
    ideal_ms = [ideal[job.number] for job in answered]
    counts = cluster.counts
    return Figures(
        cell,
        {
            'median': quantile(simulated_ms, 0.5) / quantile(ideal_ms, 0.5),
            'p99': quantile(simulated_ms, 0.99) / quantile(ideal_ms, 0.99),
            'extra': counts.extra_messages / counts.tasks,
            'start': counts.start_messages / counts.tasks,
            'refused': 1 - len(answered) / len(counted),
            'untrue': counts.wrong_run_states,
        },
    )


def measure_peak_load(cell: Cell, deployment: Deployment) -> Figures:
    """Measure 10 s of demand at three times the capacity.

    The variant ``ten times`` raises the demand to ten times the capacity.
    """
    load = PEAK_LOAD
    if cell.variant == 'ten times':
        load = attrs.evolve(PEAK_LOAD, peak_factor=10)
    jobs = make_jobs(deployment, load, cell.seed)
    cluster = Cluster(setup_for(cell, deployment), cell.seed)
    _schedule_fault(cell.variant, cluster)
    cluster.run(jobs)
    peak_jobs = [
        job for job in jobs if _arrived_between(job, PEAK_START_MS, PEAK_END_MS)
    ]
    urgent = [job for job in peak_jobs if job.urgent]
    jobs_after = [job for job in jobs if job.arrival_ms >= PEAK_END_MS]
    jobs_before = [
        job
        for job in jobs
        if _arrived_between(job, load.warm_up_ms, PEAK_START_MS)
    ]
    return Figures(
        cell,
        {
            'useful': _busy_slot_share([job for job in jobs if job.in_time]),
            'busy': _busy_slot_share(jobs),
            'urgent': sum(job.in_time for job in urgent) / len(urgent),
            'refused': sum(job.refused for job in peak_jobs) / len(peak_jobs),
            'late': sum(_is_late(job) for job in jobs) / len(jobs),
            'queue': cluster.counts.largest_queue,
            'extra': cluster.counts.extra_messages / cluster.counts.tasks,
            'untrue': cluster.counts.wrong_run_states,
        },
        [
            (job.arrival_ms - PEAK_END_MS, job.response_ms)
            for job in jobs_after
            if job.answered_ms is not None and not job.is_long
        ],
        [
            job.response_ms
            for job in jobs_before
            if job.answered_ms is not None and not job.is_long
        ],
    )


def measure_long_work(cell: Cell, deployment: Deployment) -> Figures:
    """Measure the p99 of short work with long work over that without it.

    The load is 70%. In the variant ``hidden long work``, a tenth of the long
    tasks occur in jobs of the short kinds.
    """
    hidden = 0.1 if cell.variant == 'hidden long work' else 0
    with_long_ms = _short_p99(
        cell, deployment, attrs.evolve(STEADY_LOAD, hidden_share=hidden)
    )
    without_long_ms = _short_p99(
        cell, deployment, attrs.evolve(STEADY_LOAD, long_share=0)
    )
    return Figures(cell, {'with over without': with_long_ms / without_long_ms})


def measure_failing_worker(cell: Cell, deployment: Deployment) -> Figures:
    """Measure the share of starts at a worker where every run fails."""
    load = attrs.evolve(STEADY_LOAD, duration_ms=140_000)
    jobs = make_jobs(deployment, load, cell.seed)
    setup = setup_for(
        cell,
        deployment,
        failing_worker=FAILING_WORKER,
        failing_from_ms=20_000,
        failure_share=0.01,
    )
    cluster = Cluster(setup, cell.seed)
    cluster.run(jobs)
    worker_starts = cluster.counts.starts_by_worker
    answered = sum(job.answered_ms is not None for job in jobs)
    return Figures(
        cell,
        {
            'taken': worker_starts.get(FAILING_WORKER, 0)
            / sum(worker_starts.values()),
            'answered': answered / len(jobs),
            'untrue': cluster.counts.wrong_run_states,
        },
    )


def measure_poison_jobs(cell: Cell, deployment: Deployment) -> Figures:
    """Count ejections of healthy workers due to jobs that always fail."""
    load = attrs.evolve(STEADY_LOAD, poison_share=0.05)
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


def measure_shares(cell: Cell, deployment: Deployment) -> Figures:
    """Overload one service and measure another that stays in its quota.

    The figure is the share of the other service's jobs that are in time.
    """
    jobs = make_jobs(deployment, PEAK_LOAD, cell.seed)
    source = random.Random(cell.seed)
    for job in jobs:
        if source.random() < QUIET_JOB_SHARE and not job.is_long:
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
    quiet_jobs = [
        job
        for job in jobs
        if job.service and _arrived_between(job, PEAK_START_MS, PEAK_END_MS)
    ]
    in_time = sum(job.in_time for job in quiet_jobs)
    return Figures(cell, {'quiet in time': in_time / max(1, len(quiet_jobs))})


SCENARIOS = MappingProxyType(
    {
        'steady': measure_steady_load,
        'crest': measure_peak_load,
        'long work': measure_long_work,
        'failing worker': measure_failing_worker,
        'poison jobs': measure_poison_jobs,
        'shares': measure_shares,
    }
)


def _schedule_fault(variant: str, cluster: Cluster) -> None:
    """Schedule the fault of a variant at ``FAULT_MS``, if it has one."""
    faults = {
        'place lost': _crash_place,
        'guard frozen': _freeze_guard,
        'half of the entries restarted': _restart_entries,
        'cancellation wave': _cancel_jobs,
    }
    fault = faults.get(variant)
    if fault is not None:
        cluster.events.call_at(FAULT_MS, fault, cluster)


def _crash_place(cluster: Cluster) -> None:
    lost_place = cluster.guards[0].place
    for guard in cluster.guards:
        if guard.place == lost_place:
            guard.crash()


def _freeze_guard(cluster: Cluster) -> None:
    cluster.guards[-1].freeze()


def _restart_entries(cluster: Cluster) -> None:
    for entry in cluster.entries[::2]:
        entry.restart()


def _cancel_jobs(cluster: Cluster) -> None:
    for entry in cluster.entries:
        entry.cancel_half_of_jobs()


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


def _arrived_between(job: Job, start_ms: float, end_ms: float) -> bool:
    return job.arrival_ms >= start_ms and job.arrival_ms < end_ms


def _is_late(job: Job) -> bool:
    return not job.refused and not job.in_time


def _busy_slot_share(jobs: list[Job]) -> float:
    """Return the mean share of the 80 slots in use during the load peak."""
    busy_ms = sum(
        max(0, min(end_ms, PEAK_END_MS) - max(start_ms, PEAK_START_MS))
        for job in jobs
        for start_ms, end_ms in job.busy_periods
    )
    return busy_ms / (80 * PEAK_DURATION_MS)
