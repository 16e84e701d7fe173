"""Summary of the second runs of one play, as one line of JSON."""

from __future__ import annotations

import collections
import pathlib
import re
from collections.abc import Iterable

import attrs
import msgspec

from bench.second_runs.margins import SecondRun
from bench.second_runs.orders import Play

# The users report one job by the order of the letters in its id.
_REPORTED_ID = re.compile(r'\d+c\d+d\d+b\d+c\d+d\d+')
_ID_LENGTH = 16
_LOG_NAME = re.compile(r'(.+)-(small|grown|large)-(\d+)')


@attrs.frozen(slots=True)
class PlayName:
    """Day, site and seed of a play, and the name of its log."""

    log: str
    day: str = ''
    site: str = ''
    seed: str = ''


class Summary(msgspec.Struct, frozen=True):
    """Second runs of one play.

    ``smallest_ms`` and ``counts`` are by reason and basis of the margin.
    ``smallest_unreported_ms`` is the smallest margin of the runs whose end no
    guard had reported to the entry, None without any. ``undated`` counts the
    runs without a margin, ``overlaps`` the first runs that lists show at work
    after the start of the second one. ``reported`` holds the lines of the bench
    about two runs of a task.
    """

    log: str
    day: str
    site: str
    seed: str
    second_orders: int
    undated: int
    overlaps: int
    smallest_unreported_ms: float | None
    smallest_ms: dict[str, float]
    counts: dict[str, int]
    accepted_twice: int
    pattern_jobs: list[str]
    reported: list[str]


def play_name(path: pathlib.Path) -> PlayName:
    """Return the name of a play whose log is named ``DAY-SITE-SEED.log``."""
    match = _LOG_NAME.fullmatch(path.stem)
    if match is None:
        return PlayName(path.name, path.stem)
    return PlayName(path.name, *match.groups())


def group_name(found: SecondRun) -> str:
    """Return the reason of a second run and the basis of its margin."""
    return f'{found.reason} [{found.basis}]'


def accepted_twice(play: Play) -> list[str]:
    """Return the jobs that entries accepted more than once."""
    return [job for job, lines in play.accepted().items() if len(lines) > 1]


def is_reported_id(job: str) -> bool:
    """Return whether a job id has the pattern of the users' reports."""
    has_pattern = _REPORTED_ID.fullmatch(job) is not None
    return has_pattern and len(job) == _ID_LENGTH


def smallest_margins(found: Iterable[SecondRun]) -> dict[str, float]:
    """Return the smallest margin in ms of each group that has margins."""
    smallest: dict[str, float] = {}
    for item in found:
        margin_ms = item.margin_ms
        if margin_ms is not None:
            name = group_name(item)
            smallest[name] = min(margin_ms, smallest.get(name, margin_ms))
    return smallest


def _smallest_unreported(found: Iterable[SecondRun]) -> float | None:
    margins = [
        item.margin_ms
        for item in found
        if item.margin_ms is not None and not item.is_reported
    ]
    return round(min(margins), 1) if margins else None


def summarize(name: PlayName, play: Play, found: list[SecondRun]) -> Summary:
    """Return the summary of a play."""
    smallest = smallest_margins(found)
    return Summary(
        name.log,
        name.day,
        name.site,
        name.seed,
        play.second_orders(),
        sum(item.margin_ms is None for item in found),
        sum(item.overlaps for item in found),
        _smallest_unreported(found),
        {group: round(ms, 1) for group, ms in smallest.items()},
        dict(collections.Counter(group_name(item) for item in found)),
        len(accepted_twice(play)),
        [job for job in play.accepted() if is_reported_id(job)],
        list(play.reported),
    )


def read_summaries(path: pathlib.Path) -> list[Summary]:
    """Return the summaries of a file, which need not exist."""
    if not path.exists():
        return []
    return [
        msgspec.json.decode(line, type=Summary)
        for line in path.read_bytes().splitlines()
    ]


def store_summary(path: pathlib.Path, summary: Summary) -> None:
    """Write a summary to a file, in place of an earlier one of its log."""
    kept = [item for item in read_summaries(path) if item.log != summary.log]
    lines = [msgspec.json.encode(item) for item in (*kept, summary)]
    path.write_bytes(b'\n'.join((*lines, b'')))
