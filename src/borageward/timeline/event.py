"""Events read from log files, and which of them to show."""

from __future__ import annotations

import pathlib
import re
from collections.abc import Iterable, Mapping

import attrs

from borageward.failures import Failure, FailureReason
from borageward.telemetry import parse_line

_US_PER_SECOND = 1_000_000
# 17 digits of microseconds reach the year 5138; a longer stamp is damaged.
_STAMP = re.compile(r'[0-9]{1,17}')


@attrs.frozen(slots=True, eq=False)
class Event:
    """One log line; ``stamp_s`` is wall time in seconds."""

    stamp_s: float
    process: str
    name: str
    fields: Mapping[str, str]


@attrs.frozen(slots=True)
class EventLogs:
    """Events of some files; ``skipped`` counts lines that are no events."""

    events: tuple[Event, ...]
    skipped: int


@attrs.frozen(slots=True)
class Selection:
    """What a timeline shows; an empty value does not restrict."""

    job: str = ''
    worker: str = ''
    since_s: float = 0
    until_s: float = float('inf')

    def shows(self, event: Event) -> bool:
        """Tell whether an event is part of the timeline."""
        if not self.since_s <= event.stamp_s <= self.until_s:
            return False
        job_shown = self.job in {'', event.fields.get('job')}
        worker_shown = self.worker in {'', event.fields.get('worker')}
        return job_shown and worker_shown


def read_events(paths: Iterable[pathlib.Path]) -> EventLogs | Failure:
    """Return the events of log files, in file order for each process."""
    events: list[Event] = []
    skipped = 0
    for path in paths:
        try:
            lines = path.read_text('utf-8', 'replace').split('\n')
        except OSError as error:
            detail = f'{path}: {error.strerror}'
            return Failure(FailureReason.INVALID_REQUEST, detail)
        found = [_event(line) for line in lines if line]
        events.extend(event for event in found if event is not None)
        skipped += found.count(None)
    return EventLogs(tuple(events), skipped)


def _event(line: str) -> Event | None:
    fields = parse_line(line)
    if fields is None or 'event' not in fields:
        return None
    stamp = fields.pop('t', '')
    if not _STAMP.fullmatch(stamp):
        return None
    stamp_s = int(stamp) / _US_PER_SECOND
    name = fields.pop('event')
    return Event(stamp_s, fields.pop('process', '?'), name, fields)
