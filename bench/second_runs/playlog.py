"""Reading of the output of one play with the log lines of all processes."""

from __future__ import annotations

import operator
import re
from collections.abc import Iterable, Iterator, Mapping
from typing import TypeAlias

import attrs

from borageward.telemetry import parse_line

# The column of the bench's time, the process and the line that it wrote. The
# bench cuts writes over 8 KB: their last line ends in another one then, and the
# first one of the next write has no column and process.
_LINE = re.compile(r'(?:\s*(-?\d+\.\d+) \S+ )?(t=\d+ .*)')
_GLUED = re.compile(r'(?<=\S) +(?=-?\d+\.\d{4} [\w-]+ t=\d+ level=)')
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
    """Lines of all processes by time, and broken rules that the bench names.

    ``cuts`` counts the writes from which the bench has lost lines.
    """

    lines: tuple[LogLine, ...]
    reported: tuple[str, ...]
    cuts: int = 0


@attrs.frozen(slots=True)
class _Written:
    """A line with the time of the write that it was part of, if known."""

    column_s: float | None
    stamp_us: int
    process: str
    fields: Mapping[str, str]


# The column of a write and its lines.
_Write: TypeAlias = tuple[float, list[_Written]]


def read_play(text: Iterable[str]) -> PlayLog:
    """Return the lines of a play in the order of their times.

    A process writes the lines of up to 100 ms at once. The column that the
    bench adds is the time of the first one, so the time stamps of the process
    give the time of the others. Where a clock was set forward between two
    lines, their time is that of the next write at most.
    """
    written: dict[str, list[_Written]] = {}
    reported: list[str] = []
    cuts = 0
    for joined in text:
        *cut, line = _GLUED.split(joined.rstrip('\n'))
        cuts += len(cut)
        parsed = _parse(line)
        if parsed is not None:
            written.setdefault(parsed.process, []).append(parsed)
        elif _TWICE in line:
            reported.append(line.strip())
    lines = [
        line for of_process in written.values() for line in _dated(of_process)
    ]
    lines.sort(key=operator.attrgetter('time_s'))
    return PlayLog(tuple(lines), tuple(reported), cuts)


def _parse(line: str) -> _Written | None:
    match = _LINE.fullmatch(line)
    if match is None:
        return None
    fields = parse_line(match.group(2))
    if fields is None or 'process' not in fields:
        return None
    column = match.group(1)
    return _Written(
        None if column is None else float(column),
        int(fields['t']),
        fields['process'],
        fields,
    )


def _writes(written: list[_Written]) -> list[_Write]:
    """Return the writes of one process, each with its column.

    A line without a column is the first one of the write that follows.
    """
    writes: list[_Write] = []
    first: list[_Written] = []
    for line in written:
        if line.column_s is None:
            first.append(line)
        elif writes and writes[-1][0] == line.column_s and not first:
            writes[-1][1].append(line)
        else:
            writes.append((line.column_s, [*first, line]))
            first = []
    return writes


def _dated(written: list[_Written]) -> Iterator[LogLine]:
    """Yield the lines of one process with their times."""
    writes = _writes(written)
    for index, (column_s, write) in enumerate(writes):
        is_last = index + 1 == len(writes)
        limit_s = None if is_last else writes[index + 1][0]
        for line in write:
            delay_s = (line.stamp_us - write[0].stamp_us) / _US_PER_SECOND
            time_s = _limited(column_s, max(0, delay_s), limit_s)
            yield LogLine(time_s, line.process, line.fields)


def _limited(column_s: float, delay_s: float, limit_s: float | None) -> float:
    """Return the time of a line, at most that of the next write."""
    time_s = column_s + delay_s
    if limit_s is None or limit_s < column_s:
        return time_s
    return min(time_s, limit_s)
