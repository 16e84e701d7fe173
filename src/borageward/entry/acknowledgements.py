"""Acknowledgement of task results in batches."""

from __future__ import annotations

from collections.abc import Callable

import trio

from borageward.identity import JobId
from borageward.messages.guard import Acknowledge, AcknowledgedJob

# Results that arrive within this time share one acknowledgement. With 20 ms
# each job of one task needed a message of its own. A guard keeps the results,
# about 26 a second, until they are acknowledged.
_BATCH_WAIT_S = 1.0


class Acknowledgements:
    """Collects the results received on one link and acknowledges them."""

    def __init__(self, post: Callable[[Acknowledge], None]) -> None:
        """Create an empty batch; ``post`` queues a message on the link."""
        self._post = post
        self._pending: dict[JobId, set[int]] = {}
        self._wake = trio.Event()

    def add(self, job_id: JobId, index: int) -> None:
        """Add one task result to the next acknowledgement."""
        self._pending.setdefault(job_id, set()).add(index)
        self._wake.set()

    async def run(self) -> None:
        """Send the collected acknowledgements in batches until cancelled."""
        while True:
            await self._wake.wait()
            await trio.sleep(_BATCH_WAIT_S)
            self._wake = trio.Event()
            self.flush()

    def flush(self) -> None:
        """Send all collected acknowledgements now.

        If the link drops the message, the guard sends the results again and
        they are acknowledged then.
        """
        pending = self._pending
        self._pending = {}
        jobs = tuple(
            AcknowledgedJob(job_id, tuple(sorted(indexes)))
            for job_id, indexes in pending.items()
        )
        if jobs:
            self._post(Acknowledge(jobs))
