"""Timelines as text."""

from __future__ import annotations

import datetime
from collections.abc import Iterable

from borageward.telemetry import format_line
from borageward.timeline.event import Event

_HIDDEN = frozenset(('level', 'place'))


def timeline_text(events: Iterable[Event]) -> str:
    """Return one line for each event, in the order given."""
    lines = [_line(event) for event in events]
    return '\n'.join(lines) or 'no events'


def _line(event: Event) -> str:
    moment = datetime.datetime.fromtimestamp(event.stamp_s, datetime.UTC)
    clock = moment.strftime('%H:%M:%S.%f')
    shown = {
        key: event.fields[key] for key in event.fields if key not in _HIDDEN
    }
    # The writer's quoting keeps text of callers on its line here as well.
    process = format_line({'process': event.process}).partition('=')[2]
    name = format_line({'event': event.name}).partition('=')[2]
    fields = format_line(shown)
    return f'{clock}  {process:<16}  {name:<22}  {fields}'.rstrip()
