"""Sub-command that merges log files into a timeline."""

from __future__ import annotations

import datetime
import pathlib
from functools import partial

from borageward.cli.commands import Command
from borageward.cli.exits import Report
from borageward.cli.output import show_progress
from borageward.failures import Failure, FailureReason
from borageward.timeline import (
    Selection,
    causal_order,
    read_events,
    timeline_text,
)
from borageward.timeline.picture import draw_timeline


def timeline(
    *files: str,
    job: str = '',
    worker: str = '',
    since: str = '',
    until: str = '',
    picture: str = '',
) -> Command:
    """Merge log files of several processes in causal order.

    :param files: log files
    :param job: show only the job with this id
    :param worker: show only this worker
    :param since: show events from this time, as 2026-12-04T09:00:00+00:00
    :param until: show events up to this time, in the same form
    :param picture: draw the timeline to this .svg or .png file instead
    """
    options = _SelectionOptions(job, worker, since, until)
    return partial(_timeline, files, options, picture)


class _SelectionOptions:
    """Options that select events, not yet parsed."""

    def __init__(self, job: str, worker: str, since: str, until: str) -> None:
        self._job = job.lower()
        self._worker = worker
        self._since = since
        self._until = until

    def selection(self) -> Selection | Failure:
        """Return the selection, or ``INVALID_REQUEST`` for a wrong time."""
        since_s = _parse_time_s(self._since, 0)
        until_s = _parse_time_s(self._until, float('inf'))
        if isinstance(since_s, Failure):
            return since_s
        if isinstance(until_s, Failure):
            return until_s
        return Selection(self._job, self._worker, since_s, until_s)


async def _timeline(
    files: tuple[str, ...],
    options: _SelectionOptions,
    picture: str,
) -> Report | Failure:
    selection = options.selection()
    if isinstance(selection, Failure):
        return selection
    if not files:
        return _invalid_request('no log file given')
    logs = read_events(map(pathlib.Path, files))
    if isinstance(logs, Failure):
        return logs
    if logs.skipped:
        show_progress(
            f'{logs.skipped} lines skipped because they are not events'
        )
    # Events are ordered before they are filtered, because the order of two
    # shown events may follow from one that is not shown.
    events = list(filter(selection.shows, causal_order(logs.events)))
    if not picture:
        return Report(timeline_text(events))
    failure = draw_timeline(events, pathlib.Path(picture))
    return failure or Report(f'{len(events)} events drawn into {picture}')


def _parse_time_s(text: str, default: float) -> float | Failure:
    if not text:
        return default
    try:
        time = datetime.datetime.fromisoformat(text)
    except ValueError:
        return _invalid_request(
            f'{text!r} is not a time in ISO 8601, such as 2026-12-04T09:00Z'
        )
    if time.tzinfo is None:
        return _invalid_request(
            f'{text!r} is ambiguous without a time zone; add one, such as Z'
        )
    return time.timestamp()


def _invalid_request(detail: str) -> Failure:
    return Failure(FailureReason.INVALID_REQUEST, detail)
