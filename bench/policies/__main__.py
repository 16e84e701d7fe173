"""Runs every cell and writes the table: ``python -m bench.policies``."""

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

from bench.policies.cancellation import SIZES, best_wave_ms
from bench.policies.cells import Cell, Figures, quantile, run_cell
from bench.policies.outlier_rate import check_formula, detector_ejections
from borageward.configuration import Limits
from borageward.policy.false_trips import false_trips_per_day

REPORT = Path('docs/measurements-policies.md')
DEFAULT = 'default'
SEEDS = 3
CREST_SEEDS = 6
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
            DEFAULT,
            'random',
            'two choices',
            'idle push',
            'announcements',
            'report on every change',
            'one class',
        ),
        'crest': (DEFAULT, 'queue length admission', 'ten times', *FAULTS),
        'long work': (DEFAULT, 'one class', 'hidden long work'),
        'failing worker': (DEFAULT, 'no outliers'),
        'poison jobs': (DEFAULT,),
        'shares': (DEFAULT, 'no shares'),
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
        """Group the results."""
        self._groups: dict[tuple[str, str, str], list[Figures]] = {}
        for one in results:
            cell = one.cell
            key = (cell.scenario, cell.deployment, cell.variant)
            self._groups.setdefault(key, []).append(one)

    def spread(self, key: tuple[str, str, str], name: str) -> str:
        """Return median and range over the seeds."""
        found = [one.named[name] for one in self._groups[key]]
        middle = statistics.median(found)
        return f'{middle:.3f} ({min(found):.3f} to {max(found):.3f})'

    def recovery_s(self, key: tuple[str, str, str]) -> str:
        """Return the time to the normal p99, pooled over the seeds."""
        group = self._groups[key]
        normal = quantile(
            [ms for one in group for ms in one.before_crest], 0.99
        )
        pooled = [pair for one in group for pair in one.after_crest]
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
        """Return the table of measures and targets."""
        lines = ['| measure | target | salt | swell |', '|---|---|---|---|']
        for title, scenario, name, target in TARGETS:
            salt = self.spread((scenario, 'salt', DEFAULT), name)
            swell = self.spread((scenario, 'swell', DEFAULT), name)
            lines.append(f'| {title} | {target} | {salt} | {swell} |')
        salt = self.recovery_s(('crest', 'salt', DEFAULT))
        swell = self.recovery_s(('crest', 'swell', DEFAULT))
        lines.append(f'| s to the normal p99, pooled | 2 | {salt} | {swell} |')
        return lines

    def detail_tables(self) -> list[str]:
        """Return all figures of all variants."""
        lines: list[str] = []
        for scenario, variants in VARIANTS.items():
            first = self._groups[(scenario, 'salt', variants[0])][0]
            names = list(first.named)
            lines += ['', f'## {scenario}', '']
            lines.append(_table_row(('deployment', 'variant', *names)))
            rules = ['---' for _ in ('deployment', 'variant', *names)]
            lines.append('|'.join(('', *rules, '')))
            for deployment in ('salt', 'swell'):
                for variant in variants:
                    key = (scenario, deployment, variant)
                    lines.append(self._row(key, names))
        return lines

    def _row(self, key: tuple[str, str, str], names: list[str]) -> str:
        spreads = [self.spread(key, name) for name in names]
        return _table_row((key[1], key[2], *spreads))


def outlier_lines(pool: ProcessPoolExecutor) -> list[str]:
    """Return the false ejection figures."""
    window = Limits().outlier_window
    failures = Limits().outlier_failures
    rate = false_trips_per_day(window, failures, 0.05, 200)
    starts = 150_000
    total = starts * CREST_SEEDS
    ejected = sum(
        pool.map(
            detector_ejections,
            itertools.repeat(starts, CREST_SEEDS),
            range(CREST_SEEDS),
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
    """Return the time of cancellation waves and its slope."""
    times = [best_wave_ms(size) for size in SIZES]
    slope = statistics.linear_regression(
        [math.log(size) for size in SIZES],
        [math.log(one) for one in times],
    ).slope
    lines = ['', '## Cancellation waves', '', '| tasks | ms |', '|---|---|']
    for size, one in zip(SIZES, times, strict=True):
        lines.append(f'| {size} | {one:.1f} |')
    lines += ['', f'Slope of log time over log tasks: {slope:.2f} (1: linear).']
    return lines


def scenario_cells(scenario: str, variants: Iterable[str]) -> list[Cell]:
    """Return the cells of a scenario; the short crest runs get more seeds."""
    seeds = CREST_SEEDS if scenario == 'crest' else SEEDS
    return [
        Cell(scenario, *one)
        for one in itertools.product(('salt', 'swell'), variants, range(seeds))
    ]


def _table_row(columns: Iterable[str]) -> str:
    joined = ' | '.join(columns)
    return f'| {joined} |'


def main() -> None:
    """Run all cells and write the report."""
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
    REPORT.write_text(text)
    sys.stdout.write(text)


if __name__ == '__main__':
    main()
