"""The probe that measures the time between two runs of a task."""

from __future__ import annotations

import subprocess
import sys

import pytest

from bench.second_runs import __main__ as program
from bench.second_runs.margins import second_runs
from bench.second_runs.orders import read_orders
from bench.second_runs.playlog import read_play
from bench.second_runs.plot import plot_margins
from bench.second_runs.summary import (
    PlayName,
    is_reported_id,
    play_name,
    read_summaries,
    store_summary,
    summarize,
)
from borageward.telemetry import format_line

JOB = '0123456789abcdef'
PNG_HEAD = b'\x89PNG'


def single(found):
    """Return the only one of the items."""
    assert len(found) == 1
    return found[0]


class PlayText:
    """Output of a play, written line by line with times in seconds."""

    def __init__(self):
        self.lines = []

    def write(self, time_s, process, event, column_s=None, **fields):
        """Write one line; without a column it is a write of its own."""
        stamp = round((1000 + time_s) * 1_000_000)
        column = format(time_s if column_s is None else column_s, '9.4f')
        line = format_line(
            {'t': stamp, 'level': 'info', 'event': event, **fields}
        )
        self.lines.append(f'{column} {process} {line}')

    def order(self, time_s, guard, run=1, entry='e1', tasks='3'):
        """Write an order of a run of the task."""
        self.write(
            time_s,
            entry,
            'runs_ordered',
            job=JOB,
            step=0,
            guard=guard,
            tasks=tasks,
            run=run,
        )

    def end(self, time_s, guard, detail, run=1, outcome='lost'):
        """Write the line with which the entry takes a run for ended."""
        self.write(
            time_s,
            'e1',
            'run_not_done',
            job=JOB,
            step=0,
            task=3,
            run=run,
            guard=guard,
            outcome=outcome,
            detail=detail,
        )

    def run(self, time_s, guard, event, run=1, **fields):
        """Write a line of a guard about a run of the task."""
        self.write(
            time_s, guard, event, job=JOB, step=0, task=3, run=run, **fields
        )

    def play(self):
        """Return the play that the lines describe."""
        return read_orders(read_play(self.lines))

    def found(self):
        """Return the only second run."""
        return single(second_runs(self.play()))


@pytest.fixture
def text():
    """Return the output of a play without lines."""
    return PlayText()


def repeat(text, detail, outcome='lost'):
    """Write two orders of the task, the second one 3 s after the first."""
    text.order(1, 'g1')
    text.end(4, 'g1', detail, outcome=outcome)
    text.order(4, 'g2', run=2)


def test_margin_is_that_of_the_guards(text):
    """Guards against margins that count from the entry instead of the work."""
    repeat(text, 'lease of the guard expired')
    text.run(
        3.8,
        'g1',
        'run_end_proved',
        proof='listed_end',
        listed_ms=50,
        lease_left_ms=300,
    )
    text.run(4.05, 'g2', 'repeated_start', run=2, stage='sent')
    found = text.found()
    assert found.margin_ms == pytest.approx(250)
    assert found.basis == 'guard'
    assert found.same_entry
    assert not found.overlaps
    assert found.reason == 'lost: lease of the guard expired'


def test_broken_rule_has_a_negative_margin(text):
    """Guards against a probe that shows no overlap where there is one."""
    repeat(text, 'lease of the guard expired')
    text.run(4.05, 'g2', 'repeated_start', run=2, stage='sent')
    text.run(
        5,
        'g1',
        'run_end_proved',
        proof='listed_end',
        listed_ms=400,
        lease_left_ms=300,
    )
    found = text.found()
    assert found.margin_ms == pytest.approx(-950)
    assert found.overlaps


def test_leases_that_were_over_date_the_last_work(text):
    """Guards against false alarms for the late line of a frozen guard."""
    repeat(text, 'lease of the guard expired')
    text.run(
        6,
        'g1',
        'run_end_proved',
        proof='listed_end',
        listed_ms=4800,
        lease_left_ms=-2560,
    )
    found = text.found()
    assert found.last_work.time_s == pytest.approx(3.5)
    assert found.margin_ms == pytest.approx(500)
    assert not found.overlaps


def test_late_line_without_leases_is_bounded_by_the_entry(text):
    """Guards against false alarms in logs of releases that omit the leases."""
    repeat(text, 'lease of the guard expired')
    text.run(6, 'g1', 'revoked_run_ended', detail=1)
    found = text.found()
    assert found.basis == 'bound'
    assert found.margin_ms == pytest.approx(100)


def test_silent_guard_is_bounded_by_its_authority(text):
    """Guards against a margin that seems measured where the log is silent."""
    repeat(text, 'lease of the guard expired')
    found = text.found()
    assert found.basis == 'bound'
    assert found.margin_ms == pytest.approx(100)


def test_orphan_of_newer_lists_is_at_work(text):
    """Guards against an end that was believed while the run went on."""
    repeat(text, 'stopped')
    text.run(3.9, 'g1', 'run_end_proved', proof='missing', lease_left_ms=300)
    text.run(
        4.5,
        'g1',
        'orphan_stopped',
        list_age_ms=20,
        ended_ms=600,
        lead_ms=580,
    )
    found = text.found()
    assert found.margin_ms == pytest.approx(-500)
    assert found.overlaps


def test_orphan_of_older_lists_shows_nothing(text):
    """Guards against alarms for lists that were overtaken."""
    repeat(text, 'stopped')
    text.run(3.9, 'g1', 'run_end_proved', proof='missing', lease_left_ms=300)
    text.run(
        4.5,
        'g1',
        'orphan_stopped',
        list_age_ms=20,
        ended_ms=600,
        lead_ms=-5,
    )
    assert text.found().margin_ms == pytest.approx(100)


def test_run_that_outlives_its_stop_is_at_work(text):
    """Guards against a confirmed stop that is taken for an end."""
    repeat(text, 'lease of the guard expired')
    text.run(4.2, 'g1', 'stopped_run_listed', list_age_ms=10)
    found = text.found()
    assert found.margin_ms == pytest.approx(-200)
    assert found.last_work.source == 'stopped_run_listed'


@pytest.mark.parametrize(
    ('detail', 'outcome', 'event'),
    [
        ('endpoint does not accept runs', 'refused', None),
        ('run is unknown to the guard', 'lost', 'order_ignored'),
        ('run is unknown to the guard', 'lost', 'run_end_proved'),
    ],
)
def test_first_run_that_never_started_has_no_margin(
    text, detail, outcome, event
):
    """Guards against small margins of runs that have not worked at all."""
    repeat(text, detail, outcome)
    if event == 'order_ignored':
        text.write(4.3, 'g1', event, job=JOB)
    elif event:
        text.run(3, 'g1', event, proof='not_started')
    found = text.found()
    assert found.margin_ms is None
    assert found.basis == 'never started'
    assert not found.overlaps


def test_run_in_doubt_is_not_called_ignored(text):
    """Guards against a run at work that another ignored order hides."""
    repeat(text, 'run is unknown to the guard')
    text.write(4.3, 'g1', 'order_ignored', job=JOB)
    text.run(4.4, 'g1', 'run_revoked')
    assert text.found().basis == 'bound'


def test_second_run_that_never_started_has_no_margin(text):
    """Guards against a margin to a second run that was refused."""
    repeat(text, 'stopped')
    text.end(4.1, 'g2', 'endpoint does not accept runs', 2, 'refused')
    found = text.found()
    assert found.margin_ms is None
    assert found.second_start.basis == 'never started'


def test_third_run_is_compared_with_the_one_that_worked_last(text):
    """Guards against a refused second run that hides the first one."""
    repeat(text, 'lease of the guard expired')
    text.end(4.1, 'g2', 'endpoint does not accept runs', 2, 'refused')
    text.order(4.1, 'g3', run=3)
    text.run(5, 'g1', 'run_end_proved', proof='missing', lease_left_ms=100)
    found = second_runs(text.play())[-1]
    assert found.first.guard == 'g1'
    assert found.margin_ms == pytest.approx(-900)


def test_runs_of_two_entries_are_compared(text):
    """Guards against a repeated job whose runs of both entries are run 1."""
    text.order(1, 'g1')
    text.order(3, 'g2', entry='e2')
    text.run(2.5, 'g1', 'run_end_proved', proof='missing', lease_left_ms=100)
    found = text.found()
    assert not found.same_entry
    assert found.margin_ms == pytest.approx(500)
    assert found.reason == 'ordered by another entry'


def test_lives_of_an_entry_are_told_apart(text):
    """Guards against a restarted entry that seems to continue its orders."""
    text.write(0, 'e1', 'process_started', role='entry')
    text.order(1, 'g1')
    text.write(2, 'e1', 'process_started', role='entry')
    text.order(3, 'g2')
    found = text.found()
    assert not found.same_entry
    assert found.basis == 'unknown'


def test_orders_of_several_tasks_name_the_highest_run(text):
    """Guards against a first run that is looked up under the wrong number."""
    text.order(1, 'g1', run=1, tasks='3,4')
    text.end(2, 'g1', 'stopped')
    text.order(2, 'g2', run=4, tasks='3,5')
    text.run(2.2, 'g2', 'repeated_start', run=2, stage='sent')
    assert text.found().second_start.time_s == pytest.approx(2.2)


def test_lines_of_one_write_have_times_of_their_own(text):
    """Guards against margins off by the 100 ms for which lines are collected.

    The bench shows the time of the first line of a write for all of them.
    """
    text.write(1, 'g1', 'a')
    text.write(1.08, 'g1', 'b', column_s=1)
    text.write(1.1, 'g1', 'c')
    text.write(9, 'g1', 'd', column_s=1.1)
    text.write(1.2, 'g1', 'e')
    times = [line.time_s for line in read_play(text.lines).lines]
    assert times == pytest.approx([1, 1.08, 1.1, 1.2, 1.2])


def test_other_output_of_the_bench_is_skipped(text):
    """Guards against a report that cannot be read for its other lines."""
    text.lines.append('built in 4.6 s; 33772 lines in 338 files')
    repeat(text, 'stopped')
    text.lines.append(f'  TWICE {JOB}.0.0.3: two runs of one task at the ...')
    play = text.play()
    assert play.second_orders() == 1
    assert len(play.reported) == 1


@pytest.mark.parametrize(
    ('job', 'expected'),
    [
        ('1c2d3b4c5d678901', True),
        ('12c34d56b78c90d1', True),
        ('1c2d3b4c5d67890', False),
        ('1c2d3b4cd6789012', False),
        ('c12d3b4c5d678901', False),
        ('1c2d3b4c5d67890a', False),
    ],
)
def test_pattern_of_the_reported_job(job, expected):
    """Guards against a search that misses or invents the users' job."""
    assert is_reported_id(job) == expected


def test_summary_counts_and_replaces(text, tmp_path):
    """Guards against two summaries of one play, or one without its figures."""
    repeat(text, 'lease of the guard expired')
    for entry in ('e1', 'e2'):
        text.write(0.5, entry, 'job_accepted', job=JOB)
    play = text.play()
    name = PlayName('day-grown-7.log', 'day', 'grown', '7')
    path = tmp_path / 'margins.jsonl'
    for _ in range(2):
        store_summary(path, summarize(name, play, second_runs(play)))
    summary = single(read_summaries(path))
    group = 'lost: lease of the guard expired [bound]'
    assert summary.second_orders == 1
    assert summary.smallest_ms == {group: 100}
    assert summary.smallest_unreported_ms == 100
    assert summary.accepted_twice == 1
    assert not summary.overlaps


def test_margin_after_a_report_is_kept_apart(text):
    """Guards against small times of messages that hide the other margins."""
    repeat(text, 'stopped')
    play = text.play()
    summary = summarize(PlayName('log'), play, second_runs(play))
    assert summary.smallest_unreported_ms is None
    assert list(summary.smallest_ms.values()) == [0]


def test_name_of_a_log_tells_day_site_and_seed(tmp_path):
    """Guards against summaries of which the play cannot be found again."""
    name = play_name(tmp_path / 'late-all-grown-3601.log')
    assert name.day == 'late-all'
    assert (name.site, name.seed) == ('grown', '3601')


def test_plot_is_written(text, tmp_path):
    """Guards against a plot that fails for plays without margins."""
    repeat(text, 'lease of the guard expired')
    summaries = [
        summarize(PlayName(log), play, second_runs(play))
        for log, play in (('a', text.play()), ('b', PlayText().play()))
    ]
    path = tmp_path / 'margins.png'
    plot_margins(summaries, path)
    assert path.read_bytes().startswith(PNG_HEAD)


def test_program_prints_the_tables(text, tmp_path):
    """Guards against a probe that works in tests only."""
    repeat(text, 'lease of the guard expired')
    log = tmp_path / 'day-small-1.log'
    log.write_text('\n'.join((*text.lines, '')))
    result = subprocess.run(
        (sys.executable, '-m', program.__package__, str(log)),
        capture_output=True,
        text=True,
        check=True,
    )
    assert '| 100.0 |' in result.stdout
    assert 'jobs accepted more than once: none' in result.stdout
