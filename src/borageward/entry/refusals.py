"""The latest jobs that an entry refused before their claim."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

import attrs

from borageward.clock import Milliseconds
from borageward.entry.request import JobRequest
from borageward.failures import FailureReason
from borageward.identity import JobId

MAX_REFUSALS = 1000


@attrs.frozen(slots=True)
class RefusedJob:
    """Refused submission, without its payloads.

    ``refused_ms`` is the monotonic time of the refusal. ``kinds`` holds the
    distinct kinds of its tasks, sorted, and ``tasks`` the number of tasks.
    """

    job_id: JobId
    service: str
    reason: FailureReason
    refused_ms: Milliseconds
    kinds: tuple[str, ...]
    tasks: int


class RecentRefusals:
    """The latest ``MAX_REFUSALS`` refusals; older ones are dropped."""

    def __init__(self) -> None:
        """Prepare an empty collection."""
        self._refused: deque[RefusedJob] = deque(maxlen=MAX_REFUSALS)

    def __iter__(self) -> Iterator[RefusedJob]:
        """Iterate over a copy of the refusals, oldest first."""
        return iter(tuple(self._refused))

    def add(
        self,
        request: JobRequest,
        reason: FailureReason,
        now_ms: Milliseconds,
    ) -> None:
        """Add a submission that was refused at ``now_ms``."""
        self._refused.append(
            RefusedJob(
                request.job_id,
                request.service,
                reason,
                now_ms,
                tuple(sorted({task.kind for task in request.tasks})),
                len(request.tasks),
            ),
        )
