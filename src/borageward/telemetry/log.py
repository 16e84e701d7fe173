"""Event log: one line of key=value pairs for each event."""

from __future__ import annotations

import json
import pathlib
import re
import sys
from typing import IO, Any

import eliot

_PLAIN = re.compile(r'[A-Za-z0-9_.:/@+-]+')
_HIDDEN_KEYS = frozenset(('task_uuid', 'task_level', 'message_type'))


def format_line(fields: dict[str, Any]) -> str:
    """Return one log line; text that is not plain is quoted as JSON.

    Quoting escapes line breaks, so that a caller's text cannot forge a line.
    """
    return ' '.join(f'{key}={_format(fields[key])}' for key in fields)


class EventLog:
    """Log of one process; every line carries the process's own fields."""

    def __init__(self, **fields: Any) -> None:
        """Prepare a log whose lines carry the fields."""
        self._fields = fields

    def bind(self, **fields: Any) -> EventLog:
        """Return a log whose lines carry further fields."""
        return EventLog(**{**self._fields, **fields})

    def event(self, name: str, **fields: Any) -> None:
        """Write one event at level ``info``."""
        self._write('info', name, fields)

    def warning(self, name: str, **fields: Any) -> None:
        """Write one event at level ``warning``."""
        self._write('warning', name, fields)

    def _write(self, level: str, name: str, fields: dict[str, Any]) -> None:
        eliot.log_message(
            name,
            level=level,
            event=name,
            **self._fields,
            **fields,
        )


def open_log(path: str) -> None:
    """Send all events to a file, or to standard error without a path."""
    stream: IO[str] = sys.stderr
    if path:
        stream = pathlib.Path(path).open('a', encoding='utf-8', buffering=1)
    eliot.add_destinations(_LineDestination(stream))


class _LineDestination:
    """Writes eliot messages as lines."""

    def __init__(self, stream: IO[str]) -> None:
        self._stream = stream

    def __call__(self, message: dict[str, Any]) -> None:
        fields = {'t': f'{message.pop("timestamp"):.6f}'}
        for key in message:
            if key not in _HIDDEN_KEYS:
                fields[key] = message[key]
        self._stream.write(f'{format_line(fields)}\n')


def _format(value: Any) -> str:
    text = str(value)
    if _PLAIN.fullmatch(text):
        return text
    return json.dumps(text)
