"""Events for the steps of tasks.

Tasks of one message that share the job and the attempt are logged as one
event. Its task list holds their indexes as ranges joined by ``+``, such as
``0-9+12``; this form needs no quotes in a log line.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Any

from borageward.identity import JobId
from borageward.telemetry.log import EventLog

# Upper bound on the tasks of a job, so that a damaged line such as
# ``0-999999`` does not expand to a list that fills the memory.
MAX_LISTED_TASKS = 1000

_RANGE = re.compile('([0-9]{1,6})(?:-([0-9]{1,6}))?')


def log_attempts(
    log: EventLog,
    name: str,
    job_id: JobId,
    tasks: Iterable[tuple[int, int]],
    **fields: Any,
) -> None:
    """Log a step of tasks of one job, with one event for each attempt.

    Tasks are pairs of index and attempt. Does nothing unless events at level
    ``debug`` are logged.
    """
    if not log.writes_steps:
        return
    by_attempt: dict[int, list[int]] = {}
    for index, attempt in tasks:
        by_attempt.setdefault(attempt, []).append(index)
    for attempt, indexes in by_attempt.items():
        text = index_text(indexes)
        log.debug(name, job=job_id, tasks=text, attempt=attempt, **fields)


def log_results(
    log: EventLog,
    name: str,
    tasks: Iterable[tuple[JobId, int]],
    **fields: Any,
) -> None:
    """Log a step of task results, with one event for each job.

    Tasks are pairs of job id and index. Does nothing unless events at level
    ``debug`` are logged.
    """
    if not log.writes_steps:
        return
    by_job: dict[JobId, list[int]] = {}
    for job_id, index in tasks:
        by_job.setdefault(job_id, []).append(index)
    for job, indexes in by_job.items():
        log.debug(name, job=job, tasks=index_text(indexes), **fields)


def index_text(indexes: Iterable[int]) -> str:
    """Return task indexes as text, such as ``0-9+12``."""
    ranges: list[list[int]] = []
    for index in sorted(set(indexes)):
        if ranges and ranges[-1][1] == index - 1:
            ranges[-1][1] = index
        else:
            ranges.append([index, index])
    return '+'.join(
        str(first) if first == last else f'{first}-{last}'
        for first, last in ranges
    )


def parse_index_text(text: str) -> tuple[int, ...]:
    """Return the task indexes that ``index_text`` wrote.

    Returns an empty tuple if the text is malformed or lists more than
    ``MAX_LISTED_TASKS`` tasks.
    """
    indexes: list[int] = []
    for part in text.split('+'):
        found = _RANGE.fullmatch(part)
        if found is None:
            return ()
        first = int(found.group(1))
        last = int(found.group(2) or first)
        if len(indexes) + last - first >= MAX_LISTED_TASKS:
            return ()
        indexes.extend(range(first, last + 1))
    return tuple(indexes)
