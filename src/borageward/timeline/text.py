"""Timelines formatted as text."""

from __future__ import annotations

import datetime
from collections.abc import Iterable

from borageward.telemetry import format_line
from borageward.timeline.event import Event

_HIDDEN_FIELDS = frozenset(('level', 'place'))


def timeline_text(events: Iterable[Event]) -> str:
    """Return one line per event, in the given order.

    The time of day is in UTC. Without events, the text says so.
    """
    lines = [_event_line(event) for event in events]
    return '\n'.join(lines) or 'no events'


def _event_line(event: Event) -> str:
    moment = datetime.datetime.fromtimestamp(event.timestamp_s, datetime.UTC)
    time_of_day = moment.strftime('%H:%M:%S.%f')
    shown = {
        key: event.fields[key]
        for key in event.fields
        if key not in _HIDDEN_FIELDS
    }
    # Quoted as in the log, so that text from callers cannot break the line.
    process = format_line({'process': event.process}).partition('=')[2]
    name = format_line({'event': event.name}).partition('=')[2]
    fields = format_line(shown)
    return f'{time_of_day}  {process:<16}  {name:<22}  {fields}'.rstrip()
