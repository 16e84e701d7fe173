"""Query answers and their text forms: table, JSON and one row per line."""

from __future__ import annotations

import enum
import json
from typing import Any

import attrs

from borageward.clock import Milliseconds
from borageward.failures import Failure


class AnswerFormat(enum.Enum):
    """Text form in which an answer is printed."""

    TABLE = 'table'
    JSON = 'json'
    LINES = 'lines'


@attrs.frozen(slots=True)
class Source:
    """Process that a query was sent to.

    ``failure`` is the reason why it returned no rows, if it did not answer.
    ``age_ms`` is the time since the request was sent, which is an upper bound
    of the age of the rows. ``omitted`` is the number of rows that the process
    left out of its reply because of a limit.
    """

    name: str
    age_ms: Milliseconds = 0
    omitted: int = 0
    failure: Failure | None = None


@attrs.frozen(slots=True)
class Answer:
    """Rows that match a query, and the processes that were queried.

    Each row has one cell per column.
    """

    columns: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]
    sources: tuple[Source, ...]

    @property
    def complete(self) -> bool:
        """Return whether every process answered with all of its rows.

        An answer without sources is not complete.
        """
        return bool(self.sources) and not any(
            source.failure or source.omitted for source in self.sources
        )


def format_answer(answer: Answer, form: AnswerFormat) -> str:
    """Return the text of an answer, including the state of each source."""
    if form is AnswerFormat.JSON:
        return _json_text(answer)
    if form is AnswerFormat.LINES:
        body = [_row_line(answer.columns, row) for row in answer.rows]
    else:
        body = _table(answer)
    body.extend(_source_line(source) for source in answer.sources)
    body.append(_summary_line(answer))
    return '\n'.join(body)


def printable(text: str) -> str:
    """Return a text with its non-printable characters escaped.

    Unescaped control characters could forge lines on the operator's terminal.
    A text with any such character is escaped as in JSON.
    """
    if text.isprintable():
        return text
    return json.dumps(text)[1:-1]


def _table(answer: Answer) -> list[str]:
    lines = [answer.columns]
    lines.extend(tuple(map(printable, row)) for row in answer.rows)
    by_column = zip(*lines, strict=True)
    widths = [max(map(len, column)) for column in by_column]
    return [_padded(line, widths) for line in lines]


def _padded(line: tuple[str, ...], widths: list[int]) -> str:
    padded = map(str.ljust, line, widths)
    return '  '.join(padded).rstrip()


def _row_line(columns: tuple[str, ...], row: tuple[str, ...]) -> str:
    cells = dict(zip(columns, row, strict=True))
    return ' '.join(f'{name}={_quoted(cells[name])}' for name in cells)


def _quoted(cell: str) -> str:
    plain = cell.isprintable() and not set(cell) & set(' "=')
    return cell if plain else json.dumps(cell)


def _source_line(source: Source) -> str:
    if source.failure is not None:
        detail = printable(source.failure.detail)
        reason = source.failure.reason.value
        return f'# not reached: {source.name} ({reason}: {detail})'
    omitted = ''
    if source.omitted:
        omitted = f', {source.omitted} more rows left out'
    return f'# from {source.name}, at most {source.age_ms:.0f} ms old{omitted}'


def _summary_line(answer: Answer) -> str:
    state = 'complete' if answer.complete else 'INCOMPLETE'
    return f'# {len(answer.rows)} rows, {state}'


def _json_text(answer: Answer) -> str:
    document = {
        'complete': answer.complete,
        'rows': [
            dict(zip(answer.columns, row, strict=True)) for row in answer.rows
        ],
        'sources': [_source_document(source) for source in answer.sources],
    }
    return json.dumps(document, indent=2)


def _source_document(source: Source) -> dict[str, Any]:
    document: dict[str, Any] = {
        'name': source.name,
        'age_ms': round(source.age_ms),
        'omitted': source.omitted,
    }
    if source.failure is not None:
        document['failure'] = source.failure.reason.value
        document['detail'] = source.failure.detail
    return document
