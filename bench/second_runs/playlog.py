"""Reading of the output of one play with the log lines of all processes."""

from __future__ import annotations

import operator
import re
import statistics
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
# Time for which a process collects the lines of one write.
_COLLECTED_S = 0.1
# Offsets of time stamps that differ by more than this are due to a set clock.
# A write that lacks its first lines seems to differ by up to 100 ms.
_CLOCK_STEP_S = 0.15
# Number of writes on either side with which the offset of one is compared.
_NEAR_WRITES = 5


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

    A process writes the lines of 100 ms at once, later if it stands still. The
    column that the bench adds is the time of the write, so the lines are dated
    by the time stamps of the process. Near the moment at which its clock was
    set, they may be off by as much.
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
    writes = {process: _writes(lines) for process, lines in written.items()}
    usual_s = _usual_offset_s(writes.values())
    lines = [
        line for found in writes.values() for line in _dated(found, usual_s)
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


def _usual_offset_s(writes: Iterable[list[_Write]]) -> float:
    """Return the bench's time of the zero of the processes' time stamps."""
    offsets = [_offset_s(write) for found in writes for write in found]
    return statistics.median(offsets) if offsets else 0


def _offset_s(write: _Write) -> float:
    """Return the offset of time stamps for a write without a delay."""
    column_s, lines = write
    return column_s - _COLLECTED_S - lines[0].stamp_us / _US_PER_SECOND


def _dated(writes: list[_Write], usual_s: float) -> Iterator[LogLine]:
    """Yield the lines of one process with their times.

    The offset of a single write differs from the usual one if the process stood
    still before it wrote, that of many writes if its clock was set.
    """
    offsets = [_offset_s(write) for write in writes]
    for index, (_, lines) in enumerate(writes):
        first = max(0, index - _NEAR_WRITES)
        offset_s = min(offsets[first : index + _NEAR_WRITES + 1])
        if abs(offset_s - usual_s) < _CLOCK_STEP_S:
            offset_s = usual_s
        for line in lines:
            time_s = line.stamp_us / _US_PER_SECOND + offset_s
            yield LogLine(time_s, line.process, line.fields)
