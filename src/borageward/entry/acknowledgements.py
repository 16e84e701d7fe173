"""Acknowledgement of results in batches."""

from __future__ import annotations

from collections.abc import Callable

import trio

from borageward.identity import JobId
from borageward.messages.guard import Acknowledge, AcknowledgedJob

# Results that arrive within this time share one acknowledgement. With 20 ms a
# job of one task cost one message of its own; a guard holds the results that
# wait, about 26 a second, until the acknowledgement arrives.
_BATCH_WAIT_S = 1.0


class Acknowledgements:
    """Collects the results of one link that arrived at the entry."""

    def __init__(self, post: Callable[[Acknowledge], None]) -> None:
        """Prepare for a link whose messages go through ``post``."""
        self._post = post
        self._pending: dict[JobId, set[int]] = {}
        self._wake = trio.Event()

    def add(self, job_id: JobId, index: int) -> None:
        """Acknowledge one result soon."""
        self._pending.setdefault(job_id, set()).add(index)
        self._wake.set()

    async def run(self) -> None:
        """Send the acknowledgements."""
        while True:
            await self._wake.wait()
            await trio.sleep(_BATCH_WAIT_S)
            self._wake = trio.Event()
            self.flush()

    def flush(self) -> None:
        """Send all acknowledgements now.

        What a broken link drops is acknowledged when the guard repeats it.
        """
        pending = self._pending
        self._pending = {}
        jobs = tuple(
            AcknowledgedJob(job_id, tuple(sorted(indexes)))
            for job_id, indexes in pending.items()
        )
        if jobs:
            self._post(Acknowledge(jobs))
