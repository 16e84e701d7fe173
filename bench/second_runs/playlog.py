"""Reading of the output of one play with the log lines of all processes."""

from __future__ import annotations

import itertools
import operator
import re
from collections.abc import Iterable, Iterator, Mapping

import attrs

from borageward.telemetry import parse_line

# The column of the bench's time, the process and the line that it wrote.
_LINE = re.compile(r'\s*(-?\d+\.\d+) (\S+) (t=\d+ .*)')
_TWICE = 'two runs of one task'
_US_PER_SECOND = 1_000_000


@attrs.frozen(slots=True)
class LogLine:
    """One line of a process; ``time_s`` is the bench's time in seconds."""

    time_s: float
    process: str
    fields: Mapping[str, str]

    @property
    def event(self) -> str:
        """Return the name of the event, or empty text."""
        return self.fields.get('event', '')

    def number(self, name: str) -> float | None:
        """Return a field as a number, or None if it is unknown."""
        try:
            return float(self.fields[name])
        except (KeyError, ValueError):
            return None


@attrs.frozen(slots=True)
class PlayLog:
    """Lines of all processes by time, and broken rules that the bench names."""

    lines: tuple[LogLine, ...]
    reported: tuple[str, ...]


@attrs.frozen(slots=True)
class _Written:
    """A line with the time of the write that it was part of."""

    column_s: float
    stamp_us: int
    process: str
    fields: Mapping[str, str]


def read_play(text: Iterable[str]) -> PlayLog:
    """Return the lines of a play in the order of their times.

    A process writes the lines of up to 100 ms at once. The column that the
    bench adds is the time of the first one, so the time stamps of the process
    give the time of the others. Where a clock was set forward between two
    lines, their time is that of the next write at most.
    """
    written: dict[str, list[_Written]] = {}
    reported: list[str] = []
    for line in text:
        parsed = _parse(line)
        if parsed is not None:
            written.setdefault(parsed.process, []).append(parsed)
        elif _TWICE in line:
            reported.append(line.strip())
    lines = [
        line for of_process in written.values() for line in _dated(of_process)
    ]
    lines.sort(key=operator.attrgetter('time_s'))
    return PlayLog(tuple(lines), tuple(reported))


def _parse(line: str) -> _Written | None:
    match = _LINE.fullmatch(line.rstrip('\n'))
    if match is None:
        return None
    fields = parse_line(match.group(3))
    if fields is None or 'event' not in fields:
        return None
    return _Written(
        float(match.group(1)),
        int(fields['t']),
        match.group(2),
        fields,
    )


def _dated(written: list[_Written]) -> Iterator[LogLine]:
    """Yield the lines of one process with their times."""
    writes = [
        list(group)
        for _, group in itertools.groupby(
            written, operator.attrgetter('column_s')
        )
    ]
    for index, write in enumerate(writes):
        is_last = index + 1 == len(writes)
        limit_s = None if is_last else writes[index + 1][0].column_s
        for line in write:
            yield LogLine(
                _time_s(line, write[0], limit_s), line.process, line.fields
            )


def _time_s(line: _Written, first: _Written, limit_s: float | None) -> float:
    delay_s = (line.stamp_us - first.stamp_us) / _US_PER_SECOND
    time_s = first.column_s + max(0, delay_s)
    if limit_s is None or limit_s < first.column_s:
        return time_s
    return min(time_s, limit_s)
