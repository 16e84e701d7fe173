"""Table of the tasks that were ordered a second time in a play.

Usage: python -m bench.second_runs [options] LOG...

LOG is the output of ``fleetbench run ... --log all``. The margin of a task is
the time from the last moment at which its first run may have worked to the
start of the second one. The rule of one run at a time is broken below zero.
"""

from __future__ import annotations

import argparse
import operator
import pathlib
import sys

from bench.report import print_table
from bench.second_runs.margins import Moment, SecondRun, second_runs
from bench.second_runs.orders import Play, read_orders
from bench.second_runs.playlog import PlayLog, read_play
from bench.second_runs.plot import plot_margins
from bench.second_runs.summary import (
    Summary,
    accepted_twice,
    play_name,
    read_summaries,
    store_summary,
    summarize,
)
from borageward.telemetry import format_line

_TASK_HEADER = (
    'job',
    'task',
    'runs',
    'first guard',
    'second guard',
    'entry',
    'why the first run was taken for ended',
    'last work s',
    'by',
    'second start s',
    'by',
    'margin ms',
)
# Fields that all lines of a job share, or that the shown time replaces.
_HIDDEN_FIELDS = frozenset(('t', 'level', 'process', 'job'))


def main() -> None:
    """Print the tables of the logs, or plot stored summaries."""
    options = _parse_options()
    if options.plot is not None:
        summaries = [
            summary
            for path in options.files
            for summary in read_summaries(path)
        ]
        plot_margins(summaries, options.plot)
        return
    for path in options.files:
        _handle_log(path, options)


def _parse_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog='python -m bench.second_runs',
        description='Margins between two runs of one task in a play.',
    )
    parser.add_argument('files', nargs='+', type=pathlib.Path, metavar='LOG')
    parser.add_argument(
        '--rows', type=int, help='print so many tasks of the smallest margins'
    )
    parser.add_argument(
        '--summary',
        type=pathlib.Path,
        metavar='JSONL',
        help='store one line of JSON for each log, named DAY-SITE-SEED.log',
    )
    parser.add_argument(
        '--plot',
        type=pathlib.Path,
        metavar='PNG',
        help='plot the summaries in the files, instead of reading logs',
    )
    parser.add_argument(
        '--job', help='print the lines of one job with their times instead'
    )
    return parser.parse_args()


def _handle_log(path: pathlib.Path, options: argparse.Namespace) -> None:
    with path.open(encoding='utf-8', errors='replace') as text:
        log = read_play(text)
    if options.job is not None:
        _print_job(log, options.job)
        return
    play = read_orders(log)
    found = second_runs(play)
    summary = summarize(play_name(path), play, found)
    _print_report(summary, play, found, options.rows)
    if options.summary is not None:
        store_summary(options.summary, summary)


def _print_job(log: PlayLog, job: str) -> None:
    for line in log.lines:
        if line.fields.get('job') == job:
            shown = {
                name: text
                for name, text in line.fields.items()
                if name not in _HIDDEN_FIELDS
            }
            text = format_line(shown)
            time_s = format(line.time_s, '9.4f')
            sys.stdout.write(f'{time_s} {line.process} {text}\n')


def _print_report(
    summary: Summary,
    play: Play,
    found: list[SecondRun],
    rows: int | None,
) -> None:
    sys.stdout.write(f'\n# {summary.log}\n\n')
    shown = sorted(found, key=_by_margin)
    print_table(_TASK_HEADER, [_row(item) for item in shown[:rows]])
    sys.stdout.write('\n')
    print_table(
        ('reason and basis', 'second orders', 'smallest margin ms'),
        [
            (group, count, summary.smallest_ms.get(group, '-'))
            for group, count in sorted(
                summary.counts.items(), key=operator.itemgetter(1), reverse=True
            )
        ],
    )
    twice = ' '.join(accepted_twice(play)) or 'none'
    pattern = ' '.join(summary.pattern_jobs) or 'none'
    sys.stdout.write(f'\njobs accepted more than once: {twice}\n')
    sys.stdout.write(f'job ids of the reported pattern: {pattern}\n')
    for line in summary.reported:
        sys.stdout.write(f'the bench says: {line}\n')


def _by_margin(found: SecondRun) -> tuple[bool, bool, float]:
    """Order by margin, overlaps first and ends that a guard reported last."""
    margin_ms = found.margin_ms
    if margin_ms is None:
        return (True, True, float('inf'))
    return (not found.overlaps, found.is_reported, margin_ms)


def _row(found: SecondRun) -> list[str]:
    first, second = found.first, found.second
    task = first.task
    margin_ms = found.margin_ms
    margin = '-' if margin_ms is None else format(margin_ms, '.1f')
    return [
        task.job,
        f'{task.step}.{task.index}',
        f'{first.run} {second.run}',
        first.guard,
        second.guard,
        'same' if found.same_entry else f'{first.entry} {second.entry}',
        found.reason,
        *_cells(found.last_work),
        *_cells(found.second_start),
        f'{margin} OVERLAP' if found.overlaps else margin,
    ]


def _cells(moment: Moment) -> tuple[str, str]:
    time_s = '-' if moment.time_s is None else format(moment.time_s, '.4f')
    return time_s, f'{moment.basis}: {moment.source}'


if __name__ == '__main__':
    main()
