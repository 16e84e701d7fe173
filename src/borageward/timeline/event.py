"""Events read from log files, and their selection for a timeline."""

from __future__ import annotations

import pathlib
import re
from collections.abc import Iterable, Mapping

import attrs

from borageward.failures import Failure, FailureReason
from borageward.telemetry import parse_line

_US_PER_SECOND = 1_000_000
# 17 digits of microseconds reach the year 5138, so a longer timestamp comes
# from a damaged line.
_TIMESTAMP = re.compile(r'[0-9]{1,17}')


@attrs.frozen(slots=True, eq=False)
class Event:
    """Event parsed from one log line.

    ``timestamp_s`` is the wall time in seconds since the epoch. ``fields``
    holds the fields other than time, process and event name.
    """

    timestamp_s: float
    process: str
    name: str
    fields: Mapping[str, str]


@attrs.frozen(slots=True)
class EventLogs:
    """Events read from log files.

    ``skipped`` is the number of lines that could not be parsed as events.
    """

    events: tuple[Event, ...]
    skipped: int


@attrs.frozen(slots=True)
class Selection:
    """Filter for the events of a timeline.

    An empty ``job`` or ``worker`` matches all events. The bounds ``since_s``
    and ``until_s`` are inclusive, in seconds since the epoch.
    """

    job: str = ''
    worker: str = ''
    since_s: float = 0
    until_s: float = float('inf')

    def shows(self, event: Event) -> bool:
        """Return whether the filter matches an event."""
        if not self.since_s <= event.timestamp_s <= self.until_s:
            return False
        job_matches = self.job in {'', event.fields.get('job')}
        worker_matches = self.worker in {'', event.fields.get('worker')}
        return job_matches and worker_matches


def read_events(paths: Iterable[pathlib.Path]) -> EventLogs | Failure:
    """Return the events of log files, in the order of files and lines.

    Returns ``INVALID_REQUEST`` if a file cannot be read. Lines that are not
    events are skipped and counted.
    """
    events: list[Event] = []
    skipped = 0
    for path in paths:
        try:
            lines = path.read_text('utf-8', 'replace').split('\n')
        except OSError as error:
            detail = f'{path}: {error.strerror}'
            return Failure(FailureReason.INVALID_REQUEST, detail)
        parsed = [_parse_event(line) for line in lines if line]
        events.extend(event for event in parsed if event is not None)
        skipped += parsed.count(None)
    return EventLogs(tuple(events), skipped)


def _parse_event(line: str) -> Event | None:
    fields = parse_line(line)
    if fields is None or 'event' not in fields:
        return None
    timestamp = fields.pop('t', '')
    if not _TIMESTAMP.fullmatch(timestamp):
        return None
    timestamp_s = int(timestamp) / _US_PER_SECOND
    name = fields.pop('event')
    return Event(timestamp_s, fields.pop('process', '?'), name, fields)
