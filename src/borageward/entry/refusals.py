"""Jobs that an entry refused last before their claim."""

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
    """Refused submission; ``refused_ms`` is a monotonic time."""

    job_id: JobId
    service: str
    reason: FailureReason
    refused_ms: Milliseconds
    kinds: tuple[str, ...]
    tasks: int


class RecentRefusals:
    """The last refusals, bounded in number; the oldest is dropped first."""

    def __init__(self) -> None:
        """Prepare without refusals."""
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
        """Remember a refused submission without its payload."""
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
