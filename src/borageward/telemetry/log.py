"""Event log with one line of ``key=value`` pairs per event."""

from __future__ import annotations

import pathlib
import sys
import time
from collections.abc import Mapping
from typing import Any, Protocol

import eliot

from borageward.telemetry.line import format_line

_LEVELS = ('debug', 'info', 'warning', 'error')
_NS_PER_US = 1000


class LineStream(Protocol):
    """Stream to which the event log writes its lines."""

    def write(self, line: str, /) -> object:
        """Write one line, which ends with a line break."""


class EventObserver(Protocol):
    """Receives each event of a logged level before its line is written."""

    def observe(self, name: str, fields: Mapping[str, Any]) -> None:
        """Process the name and the fields of an event."""


class EventLog:
    """Writes events whose lines all carry a fixed set of bound fields.

    A process binds fields that identify it, such as ``process``. Each line
    also has ``t``, the wall time in microseconds since the epoch, ``level``
    and ``event``. ``t`` increases from line to line within a process, even
    when the wall clock is set back.
    """

    def __init__(self, **fields: Any) -> None:
        """Create a log whose lines carry the given fields."""
        self._fields = fields

    @property
    def writes_steps(self) -> bool:
        """Return whether the steps of tasks, at level ``debug``, are logged."""
        return _destination.writes('debug')

    def bind(self, **fields: Any) -> EventLog:
        """Return a log whose lines also carry the given fields."""
        return EventLog(**{**self._fields, **fields})

    def debug(self, name: str, **fields: Any) -> None:
        """Write one event at level ``debug``, used for steps of tasks."""
        if _destination.writes('debug'):
            self._write('debug', name, fields)

    def event(self, name: str, **fields: Any) -> None:
        """Write one event at level ``info``."""
        if _destination.writes('info'):
            self._write('info', name, fields)

    def warning(self, name: str, **fields: Any) -> None:
        """Write one event at level ``warning``."""
        if _destination.writes('warning'):
            self._write('warning', name, fields)

    def error(self, name: str, **fields: Any) -> None:
        """Write one event at level ``error``."""
        self._write('error', name, fields)

    def _write(self, level: str, name: str, fields: dict[str, Any]) -> None:
        for observer in _observers:
            observer.observe(name, fields)
        # eliot.log_message would add a task id and a task level to each
        # message. Lines do not show them, and adding them costs more time
        # than writing the line itself.
        _logger.write(
            {
                't': _timestamps.next(),
                'level': level,
                'event': name,
                **self._fields,
                **fields,
            }
        )


def open_log(path: str, level: str = 'info') -> None:
    """Write events of a level and above to a file.

    Lines are appended to the file; an empty path selects standard error. A
    later call replaces the destination of an earlier one. Raises ``OSError``
    if the file cannot be opened and ``ValueError`` for an unknown level.
    """
    stream: LineStream = sys.stderr
    if path:
        stream = pathlib.Path(path).open('a', encoding='utf-8', buffering=1)
    _destination.open(stream, level)


def send_log_to(
    stream: LineStream,
    event_observer: EventObserver,
    level: str = 'info',
) -> None:
    """Write events of a level and above to a stream.

    The observer receives each of these events, even if the stream drops its
    line. Raises ``ValueError`` for an unknown level.
    """
    _destination.open(stream, level)
    _observers.append(event_observer)


class _Timestamps:
    """Source of strictly increasing timestamps.

    A timestamp is the wall time in microseconds since the epoch. When the
    wall clock is set back, each timestamp exceeds the previous one by 1 us.
    """

    def __init__(self) -> None:
        self._last_us = 0

    def next(self) -> str:
        """Return the next timestamp as decimal text."""
        now_us = time.time_ns() // _NS_PER_US
        self._last_us = max(now_us, self._last_us + 1)
        return str(self._last_us)


class _Destination:
    """Destination of eliot that writes messages as log lines."""

    def __init__(self) -> None:
        self._stream: LineStream | None = None
        self._written_levels = frozenset(_LEVELS)

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one message; those without an event come from libraries."""
        if self._stream is not None and 'event' in message:
            line = format_line(message)
            self._stream.write(f'{line}\n')

    def open(self, stream: LineStream, level: str) -> None:
        """Write events of a level and above to a stream from now on."""
        if self._stream is None:
            eliot.add_destinations(self)
        self._stream = stream
        self._written_levels = frozenset(_LEVELS[_LEVELS.index(level) :])

    def writes(self, level: str) -> bool:
        """Return whether events of a level are written."""
        return level in self._written_levels


_observers: list[EventObserver] = []
_timestamps = _Timestamps()
_destination = _Destination()
_logger = eliot.Logger()
