"""Formatting and parsing of log lines made of ``key=value`` pairs."""

from __future__ import annotations

import enum
import json
import re
from collections.abc import Mapping
from typing import Any

from borageward.identity import format_job_id

_PLAIN = re.compile('[A-Za-z0-9_.:/@+-]+')
_PAIR = re.compile(r'([A-Za-z0-9_]+)=("(?:[^"\\]|\\.)*"|[^\s"]+)(?: |$)')
_JOB_ID_BYTES = 16


def format_line(fields: Mapping[str, Any]) -> str:
    """Return the fields as one log line without a line break.

    Values with characters other than letters, digits and ``_.:/@+-`` are
    quoted as JSON. This escapes line breaks and quotes, so text from a caller
    can forge neither a line nor a field.
    """
    return ' '.join([f'{key}={_format_field(fields[key])}' for key in fields])


def parse_line(line: str) -> dict[str, str] | None:
    """Return the fields of a log line, or None if it cannot be parsed.

    All values are returned as text; JSON quoting is removed.
    """
    fields: dict[str, str] = {}
    position = 0
    while position < len(line):
        pair = _PAIR.match(line, position)
        if pair is None:
            return None
        text = _unquote(pair.group(2))
        if text is None:
            return None
        fields[pair.group(1)] = text
        position = pair.end()
    return fields


def _format_field(field: Any) -> str:
    text = field if isinstance(field, str) else _field_text(field)
    if _PLAIN.fullmatch(text):
        return text
    return json.dumps(text)


def _field_text(field: Any) -> str:
    if isinstance(field, enum.Enum):
        return str(field.value)
    if isinstance(field, bytes):
        if len(field) == _JOB_ID_BYTES:
            return format_job_id(field)
        return field.hex()
    if isinstance(field, float):
        return f'{field:.3f}'
    return str(field)


def _unquote(text: str) -> str | None:
    if not text.startswith('"'):
        return text
    try:
        return str(json.loads(text))
    except json.JSONDecodeError:
        return None
