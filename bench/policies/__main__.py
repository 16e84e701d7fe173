"""Simulate the policies and write the report of all cells.

Run with ``python -m bench.policies`` in the root folder of the repository. The
report calls the load peak "crest".
"""

from __future__ import annotations

import itertools
import math
import os
import statistics
import sys
import time
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from types import MappingProxyType

from bench.policies.cancellation import TASK_COUNTS, min_cancellation_ms
from bench.policies.cells import Cell, Figures, quantile, run_cell
from bench.policies.outlier_rate import check_formula, detector_ejections
from borageward.configuration import Limits
from borageward.policy.false_trips import false_trips_per_day

REPORT_PATH = Path('docs/measurements-policies.md')
DEFAULT_VARIANT = 'default'
SEEDS = 3
PEAK_SEEDS = 6
RECOVERY_WINDOW_MS = 2000
RECOVERY_STEP_MS = 250
FAULTS = (
    'place lost',
    'guard frozen',
    'half of the entries restarted',
    'cancellation wave',
)
VARIANTS = MappingProxyType(
    {
        'steady': (
            DEFAULT_VARIANT,
            'random',
            'two choices',
            'idle push',
            'announcements',
            'report on every change',
            'one class',
        ),
        'crest': (
            DEFAULT_VARIANT,
            'queue length admission',
            'ten times',
            *FAULTS,
        ),
        'long work': (DEFAULT_VARIANT, 'one class', 'hidden long work'),
        'failing worker': (DEFAULT_VARIANT, 'no outliers'),
        'poison jobs': (DEFAULT_VARIANT,),
        'shares': (DEFAULT_VARIANT, 'no shares'),
    }
)
TARGETS = (
    ('response time over ideal, median', 'steady', 'median', '1.10'),
    ('response time over ideal, p99', 'steady', 'p99', '1.5'),
    ('messages beyond start and answer, per task', 'steady', 'extra', '0.2'),
    ('crest: capacity on work in time', 'crest', 'useful', '95%'),
    ('crest: urgent jobs in time', 'crest', 'urgent', '99%'),
    (
        "short work's p99 with long work over without",
        'long work',
        'with over without',
        '1.25',
    ),
    ('starts taken by a failing worker', 'failing worker', 'taken', '1%'),
    ('untrue run states (crest)', 'crest', 'untrue', '0'),
    ('untrue run states (70% load)', 'steady', 'untrue', '0'),
)


NOTES = (
    'Jobs that were refused have no response time and are left out of both',
    'sides of the comparison with the ideal; the share of refused jobs is in',
    'the section "steady". Claims of 5 ms and the delays between places and to',
    'clients count in the response time, but not in the ideal. Reservations',
    'by message and the platform port were not simulated.',
)


class Report:
    """Figures of all cells by scenario, deployment and variant."""

    def __init__(self, results: list[Figures]) -> None:
        """Group the figures by scenario, deployment and variant."""
        self._groups: dict[tuple[str, str, str], list[Figures]] = {}
        for figures in results:
            cell = figures.cell
            key = (cell.scenario, cell.deployment, cell.variant)
            self._groups.setdefault(key, []).append(figures)

    def spread(self, key: tuple[str, str, str], name: str) -> str:
        """Return median and range of a figure over the seeds."""
        values = [figures.by_name[name] for figures in self._groups[key]]
        median_value = statistics.median(values)
        return f'{median_value:.3f} ({min(values):.3f} to {max(values):.3f})'

    def recovery_s(self, key: tuple[str, str, str]) -> str:
        """Return the seconds from the end of the load peak to a normal p99.

        The p99 of the response times, pooled over the seeds, is normal when it
        does not exceed that from before the load peak. It is computed over the
        arrivals of ``RECOVERY_WINDOW_MS``. The search ends at 20 s.
        """
        group = self._groups[key]
        normal = quantile(
            [ms for figures in group for ms in figures.before_peak], 0.99
        )
        pooled = [pair for figures in group for pair in figures.after_peak]
        start = 0
        while start < 20_000:
            window = [
                ms
                for arrival, ms in pooled
                if start <= arrival < start + RECOVERY_WINDOW_MS
            ]
            if window and quantile(window, 0.99) <= normal:
                seconds = start / 1000
                return f'{seconds:.2f}'
            start += RECOVERY_STEP_MS
        return 'not within 20'

    def target_table(self) -> list[str]:
        """Return the Markdown table of measures and targets as lines."""
        lines = ['| measure | target | salt | swell |', '|---|---|---|---|']
        for title, scenario, name, target in TARGETS:
            salt = self.spread((scenario, 'salt', DEFAULT_VARIANT), name)
            swell = self.spread((scenario, 'swell', DEFAULT_VARIANT), name)
            lines.append(f'| {title} | {target} | {salt} | {swell} |')
        salt = self.recovery_s(('crest', 'salt', DEFAULT_VARIANT))
        swell = self.recovery_s(('crest', 'swell', DEFAULT_VARIANT))
        lines.append(f'| s to the normal p99, pooled | 2 | {salt} | {swell} |')
        return lines

    def detail_tables(self) -> list[str]:
        """Return Markdown tables of all figures of all variants as lines."""
        lines: list[str] = []
        for scenario, variants in VARIANTS.items():
            first = self._groups[(scenario, 'salt', variants[0])][0]
            names = list(first.by_name)
            lines += ['', f'## {scenario}', '']
            lines.append(_table_row(('deployment', 'variant', *names)))
            separators = ['---' for _ in ('deployment', 'variant', *names)]
            lines.append('|'.join(('', *separators, '')))
            for deployment in ('salt', 'swell'):
                for variant in variants:
                    key = (scenario, deployment, variant)
                    lines.append(self._row(key, names))
        return lines

    def _row(self, key: tuple[str, str, str], names: list[str]) -> str:
        spreads = [self.spread(key, name) for name in names]
        return _table_row((key[1], key[2], *spreads))


def outlier_lines(pool: ProcessPoolExecutor) -> list[str]:
    """Return the report lines on false ejections."""
    window = Limits().outlier_window
    failures = Limits().outlier_failures
    rate = false_trips_per_day(window, failures, 0.05, 200)
    starts = 150_000
    total = starts * PEAK_SEEDS
    ejected = sum(
        pool.map(
            detector_ejections,
            itertools.repeat(starts, PEAK_SEEDS),
            range(PEAK_SEEDS),
        )
    )
    lines = [
        '',
        '## False ejections',
        '',
        f'Computed for {failures} of {window}: {rate:.4f} per worker and day',
        f'(target 0.01). The detector itself: {ejected} ejections in {total}',
        'starts at 5% independent failures.',
        '',
        '| window | failures | computed crossings | counted |',
        '|---|---|---|---|',
    ]
    for row in check_formula(2_000_000, 1):
        lines.append(_table_row(map(str, row)))
    return lines


def cancellation_lines() -> list[str]:
    """Measure cancellations and return the report lines on them."""
    times = [min_cancellation_ms(task_count) for task_count in TASK_COUNTS]
    slope = statistics.linear_regression(
        [math.log(task_count) for task_count in TASK_COUNTS],
        [math.log(time_ms) for time_ms in times],
    ).slope
    lines = ['', '## Cancellation waves', '', '| tasks | ms |', '|---|---|']
    for task_count, time_ms in zip(TASK_COUNTS, times, strict=True):
        lines.append(f'| {task_count} | {time_ms:.1f} |')
    lines += ['', f'Slope of log time over log tasks: {slope:.2f} (1: linear).']
    return lines


def scenario_cells(scenario: str, variants: Iterable[str]) -> list[Cell]:
    """Return the cells of a scenario; short peak runs get more seeds."""
    seeds = PEAK_SEEDS if scenario == 'crest' else SEEDS
    return [
        Cell(scenario, *choice)
        for choice in itertools.product(
            ('salt', 'swell'), variants, range(seeds)
        )
    ]


def _table_row(columns: Iterable[str]) -> str:
    joined = ' | '.join(columns)
    return f'| {joined} |'


def main() -> None:
    """Run all cells, write the report to ``REPORT_PATH`` and print it."""
    begun = time.monotonic()
    cells = [
        cell
        for scenario, variants in VARIANTS.items()
        for cell in scenario_cells(scenario, variants)
    ]
    cancellation = cancellation_lines()
    processes = max(1, (os.cpu_count() or 2) - 2)
    with ProcessPoolExecutor(processes) as pool:
        report = Report(list(pool.map(run_cell, cells)))
        outliers = outlier_lines(pool)
    seconds = time.monotonic() - begun
    lines = [
        '# Measurements of the policies',
        '',
        f'Written by `python -m bench.policies` in {seconds:.0f} s; median and',
        'range over the seeds. Reasons are in docs/decisions/.',
        '',
        *report.target_table(),
        '',
        *NOTES,
        *report.detail_tables(),
        *outliers,
        *cancellation,
    ]
    text = '\n'.join((*lines, ''))
    REPORT_PATH.write_text(text)
    sys.stdout.write(text)


if __name__ == '__main__':
    main()
