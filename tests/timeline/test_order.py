"""Tests of timelines from logs of processes whose clocks differ."""

from __future__ import annotations

import random

import pytest

from borageward.cli.exits import ExitCode
from borageward.cli.main import main
from borageward.telemetry import format_line
from borageward.telemetry.events import (
    JOB_ANSWERED,
    JOB_CLAIMED,
    TASK_STEPS,
)
from borageward.telemetry.steps import index_text, parse_index_text
from borageward.timeline import causal_order, read_events

_JOB = '0193aaaa-0000-7000-8000-000000000001'
_OTHER = '0193aaaa-0000-7000-8000-000000000002'
_ON_GUARD = TASK_STEPS[1:5]
_STEPS = (JOB_CLAIMED, *TASK_STEPS, JOB_ANSWERED)


def _line(process, stamp_us, name, job=_JOB, **fields):
    common_fields = {
        't': stamp_us,
        'level': 'debug',
        'event': name,
        'process': process,
    }
    return format_line(
        {**common_fields, 'place': 'kingston', 'job': job, **fields}
    )


def _write_logs(folder, skew_us):
    entry, guard = [], []
    for number, name in enumerate(_STEPS):
        on_guard = name in _ON_GUARD
        fields = {}
        if name in TASK_STEPS:
            fields = {'tasks': '0-3', 'attempt': 1, 'worker': 'worker-01'}
        stamp_us = 1_000_000 * (1000 + number) + skew_us * on_guard
        process = 'guard-01' if on_guard else 'entry-1'
        lines = guard if on_guard else entry
        lines.append(_line(process, stamp_us, name, **fields))
    entry.append(_line('entry-1', 2_000_000_000, JOB_CLAIMED, _OTHER))
    paths = folder / 'entry.log', folder / 'guard.log'
    paths[0].write_text('\n'.join([*entry, 'torn t=1']))
    paths[1].write_text('\n'.join(guard))
    return paths


@pytest.mark.parametrize('skew_us', [0, -500_000_000, 500_000_000])
def test_steps_are_in_causal_order(tmp_path, skew_us):
    """Guards against a result shown before the start of its task.

    The clock of the guard differs from that of the entry by minutes, so an
    order by timestamps alone would be wrong.
    """
    logs = read_events(_write_logs(tmp_path, skew_us))
    assert logs.skipped == 1
    ordered = causal_order(logs.events)
    names = [event.name for event in ordered if event.fields['job'] == _JOB]
    assert names == list(_STEPS)


def test_forwarded_answer_follows_the_owner(tmp_path):
    """Guards against a forwarded answer shown before the owner's answer.

    The entry that forwarded the job logs an earlier timestamp than the owner,
    although it received the answer from the owner.
    """
    paths = tmp_path / 'first.log', tmp_path / 'owner.log'
    paths[0].write_text(_line('entry-1', 1, JOB_ANSWERED, status=200))
    paths[1].write_text(
        '\n'.join(
            [
                _line('entry-2', 5, JOB_CLAIMED),
                _line('entry-2', 7, JOB_ANSWERED, status=200),
            ],
        ),
    )
    ordered = causal_order(read_events(paths).events)
    assert [event.process for event in ordered] == [
        'entry-2',
        'entry-2',
        'entry-1',
    ]


def test_repeated_results_keep_the_order(tmp_path):
    """Guards against a wrong order when a result is received twice.

    The second reception must not add an edge that forms a cycle.
    """
    names = (*_STEPS, TASK_STEPS[-1])
    path = tmp_path / 'all.log'
    path.write_text(
        '\n'.join(
            _line('p', 1, name, tasks=0, worker='w', status=200)
            for name in names
        ),
    )
    ordered = causal_order(read_events((path,)).events)
    assert [event.name for event in ordered] == list(names)


@pytest.mark.parametrize('text', ['0-9999999', '0-999999', '3-', '5-1', 'x'])
def test_damaged_task_list_names_no_task(text):
    """Guards against a damaged task list that fills the memory.

    A few characters such as ``0-9999999`` would expand to millions of tasks.
    """
    assert not parse_index_text(text)


@pytest.mark.parametrize('indexes', [(0,), (0, 1, 2, 9), tuple(range(150))])
def test_task_list_is_read_back(indexes):
    """Guards against tasks lost when a task list is written and parsed."""
    assert parse_index_text(index_text(indexes)) == indexes


def test_contradicting_logs_keep_all_events(tmp_path):
    """Guards against lost events or an endless loop for cyclic logs.

    The log holds the steps of a task in an order that contradicts their
    causal order, so no order satisfies both.
    """
    lines = [
        _line('entry-1', 100 - number, name, tasks=0, attempt=1)
        for number, name in enumerate(reversed(TASK_STEPS))
    ]
    random.Random(20261204).shuffle(lines)
    path = tmp_path / 'entry.log'
    path.write_text('\n'.join(lines))
    logs = read_events((path,))
    ordered = causal_order(logs.events)
    assert sorted(map(id, ordered)) == sorted(map(id, logs.events))


def test_timeline_of_a_job(tmp_path, capsys, snapshot):
    """Guards against a timeline of a job that is incomplete or mixed.

    The logs also contain an event of another job and a truncated line.
    """
    paths = [str(path) for path in _write_logs(tmp_path, -500_000_000)]
    assert main(['timeline', *paths, '--job', _JOB]) == ExitCode.DONE
    shown = capsys.readouterr()
    assert shown.err == '1 lines skipped because they are not events\n'
    assert shown.out == snapshot


def test_time_span_and_worker(tmp_path, capsys):
    """Guards against ``--until`` or ``--worker`` being ignored.

    Only three of the logged events match both.
    """
    paths = [str(path) for path in _write_logs(tmp_path, 0)]
    arguments = [
        '--worker',
        'worker-01',
        '--until',
        '1970-01-01T00:16:43+00:00',
    ]
    assert main(['timeline', *paths, *arguments]) == ExitCode.DONE
    assert len(capsys.readouterr().out.splitlines()) == 3


@pytest.mark.parametrize(
    ('arguments', 'message'),
    [
        (['missing.log'], 'No such file'),
        ([], 'no log file'),
        (['x.log', '--since', 'noon'], 'is not a time'),
        (['x.log', '--since', '2026-12-04T09:00'], 'ambiguous'),
    ],
)
def test_wrong_use_is_one_line(arguments, message, capsys):
    """Guards against a traceback for a missing file or an invalid time.

    The user must get a message and the exit code for wrong usage instead.
    """
    assert main(['timeline', *arguments]) == ExitCode.USAGE
    assert message in capsys.readouterr().err


@pytest.mark.parametrize('stamp', ['9' * 30, '-1', '1e3', '9' * 5000, ''])
def test_damaged_stamp_is_skipped(tmp_path, stamp):
    """Guards against a damaged timestamp that stops the whole timeline.

    Converting it to a number may fail or give a time out of range; the line
    must be skipped and counted instead.
    """
    path = tmp_path / 'entry.log'
    path.write_text(f't={stamp} event=x process=p\nt=1 event=y process=p\n')
    logs = read_events((path,))
    assert [event.name for event in logs.events] == ['y']
    assert logs.skipped == 1


def test_picture_shows_names_as_they_are(tmp_path):
    """Guards against names that matplotlib parses as formulas.

    Text between dollar signs is taken as a formula by default, and an invalid
    formula raises an exception.
    """
    path = tmp_path / 'entry.log'
    path.write_text(_line(r'$\p$', 1, r'$\forged{$'))
    arguments = ['timeline', str(path), '--picture', str(tmp_path / 'x.svg')]
    assert main(arguments) == ExitCode.DONE


def test_picture_is_drawn(tmp_path):
    """Guards against a picture that is not drawn or has a wrong format.

    An SVG file must be written, and an unsupported suffix refused.
    """
    paths = [str(path) for path in _write_logs(tmp_path, 0)]
    picture = tmp_path / 'timeline.svg'
    arguments = ['timeline', *paths, '--picture', str(picture)]
    assert main(arguments) == ExitCode.DONE
    assert '<svg' in picture.read_text()
    assert main([*arguments[:-1], 'timeline.gif']) == ExitCode.USAGE
