"""The sub-command that merges log files."""

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
    :param job: show one job, by its id
    :param worker: show one worker
    :param since: first time, as 2026-12-04T09:00:00+00:00
    :param until: last time, in the same form
    :param picture: draw into this .svg or .png file instead
    """
    options = _Options(job, worker, since, until)
    return partial(_timeline, files, options, picture)


class _Options:
    """Selection as the command line states it."""

    def __init__(self, job: str, worker: str, since: str, until: str) -> None:
        self._job = job.lower()
        self._worker = worker
        self._since = since
        self._until = until

    def selection(self) -> Selection | Failure:
        """Return the selection, or which time cannot be read."""
        since_s = _seconds(self._since, 0)
        until_s = _seconds(self._until, float('inf'))
        if isinstance(since_s, Failure):
            return since_s
        if isinstance(until_s, Failure):
            return until_s
        return Selection(self._job, self._worker, since_s, until_s)


async def _timeline(
    files: tuple[str, ...],
    options: _Options,
    picture: str,
) -> Report | Failure:
    selection = options.selection()
    if isinstance(selection, Failure):
        return selection
    if not files:
        return _invalid('no log file given')
    logs = read_events(map(pathlib.Path, files))
    if isinstance(logs, Failure):
        return logs
    if logs.skipped:
        show_progress(f'{logs.skipped} lines are no events')
    # The whole log is ordered first: hidden events may order shown ones.
    events = list(filter(selection.shows, causal_order(logs.events)))
    if not picture:
        return Report(timeline_text(events))
    failure = draw_timeline(events, pathlib.Path(picture))
    return failure or Report(f'{len(events)} events drawn into {picture}')


def _seconds(text: str, default: float) -> float | Failure:
    if not text:
        return default
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError:
        return _invalid(f'{text!r} is not a time such as 2026-12-04T09:00Z')
    if moment.tzinfo is None:
        return _invalid(f'{text!r} has no time zone, so it is ambiguous')
    return moment.timestamp()


def _invalid(detail: str) -> Failure:
    return Failure(FailureReason.INVALID_REQUEST, detail)
