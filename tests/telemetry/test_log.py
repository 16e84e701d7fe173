"""Tests of log lines: quoting, parsing, common fields and timestamps."""

from __future__ import annotations

import pathlib
import re

from hypothesis import given, seed, settings, strategies

from borageward.telemetry import EventLog, format_line, open_log, parse_line
from borageward.telemetry.events import EVENTS

_SOURCES = pathlib.Path(__file__).parents[2] / 'src' / 'borageward'
_EVENT_CALL = re.compile(
    r"log\.(?:debug|event|warning|error)\(\s*'(\w+)'",
)


# Callers choose the values of some fields. A line break or a quote that is
# written without escaping would start a forged line or field.
@seed(20261204)
@settings(max_examples=500, database=None)
@given(
    strategies.dictionaries(
        strategies.sampled_from(('event', 'detail', 'job', 'x')),
        strategies.text(),
    )
)
def test_text_of_callers_cannot_forge(fields):
    """Guards against a value that adds a line or a field."""
    line = format_line(fields)
    assert len(line.splitlines()) <= 1
    assert parse_line(line) == fields


# Log files contain truncated lines and output of other programs. An exception
# for one such line would stop the whole timeline.
@seed(20261204)
@settings(max_examples=500, database=None)
@given(strategies.text())
def test_any_line_is_parsed_or_refused(line):
    """Guards against a torn or foreign line that stops the timeline."""
    assert parse_line(line) is None or isinstance(parse_line(line), dict)


def test_lines_carry_process_and_increase(tmp_path, monkeypatch):
    """Guards against lost fields and decreasing timestamps.

    The wall clock is set back between events; the timestamps must increase
    nevertheless, as they give the order of lines.
    """
    times = iter((5_000_000, 3_000_000, 4_000_000))
    monkeypatch.setattr('time.time_ns', lambda: next(times))
    path = tmp_path / 'events.log'
    open_log(str(path), 'info')
    log = EventLog(process='entry-1', place='kingston')
    log.event('process_started')
    log.debug('task_run_started')
    log.warning('request_failed', error='a\nb', job=b'\x01' * 16)
    fields = [parse_line(line) for line in path.read_text().splitlines()]
    assert [found['event'] for found in fields] == [
        'process_started',
        'request_failed',
    ]
    assert int(fields[0]['t']) < int(fields[1]['t'])
    assert fields[1]['error'] == 'a\nb'
    assert fields[1]['job'] == '01010101-0101-0101-0101-010101010101'
    assert {found['place'] for found in fields} == {'kingston'}


def test_every_event_is_described():
    """Guards against an event that is missing from the reference page.

    Events are logged by name, so a new one may lack an entry in ``EVENTS``,
    from which the page is generated.
    """
    unknown = {
        name
        for path in _SOURCES.rglob('*.py')
        for name in _EVENT_CALL.findall(path.read_text())
        if name not in EVENTS
    }
    assert not unknown
