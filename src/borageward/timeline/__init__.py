"""Timelines that merge the logs of several processes in causal order."""

from __future__ import annotations

from borageward.timeline.event import Event, Selection, read_events
from borageward.timeline.order import causal_order
from borageward.timeline.text import timeline_text

__all__ = (
    'Event',
    'Selection',
    'causal_order',
    'read_events',
    'timeline_text',
)
