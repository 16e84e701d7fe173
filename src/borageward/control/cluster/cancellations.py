"""Recent cancellations that entries have reported to this replica."""

from __future__ import annotations

import collections
import math
import random

import attrs

from borageward.clock import Clock, Milliseconds
from borageward.discovery import MAX_NAME_LENGTH
from borageward.messages.discovery import Cancellation

# Longer than the time in which an entry polls every replica that answers, and
# than most interruptions of its connections to them.
_RETENTION_MS = 10_000.0
# A view with all cancellations has to fit into one frame of 16 MiB.
_MAX_CANCELLATIONS = 10_000
_VERSION_BITS = 52
# A report of a job that was cancelled this much later is another cancellation;
# the time on the way makes a repeated report look younger.
_REPETITION_MS = 100.0


@attrs.frozen(slots=True)
class _Kept:
    job_id: str
    cancelled_ms: Milliseconds
    received_ms: Milliseconds


class RecentCancellations:
    """Cancellations of the last seconds, kept in memory.

    The version grows by one with each cancellation. It starts at a random
    number, so that a caller does not mistake the cancellations of a restarted
    process for those that it has already read.
    """

    def __init__(self, clock: Clock, source: random.Random) -> None:
        """Create an empty store."""
        self._clock = clock
        self._kept: collections.deque[_Kept] = collections.deque()
        # Time of the newest kept cancellation of each job.
        self._cancelled_ms: dict[str, Milliseconds] = {}
        # Zero is the version of a caller that has read nothing.
        self._version = 1 + source.getrandbits(_VERSION_BITS)

    @property
    def version(self) -> int:
        """Return the version of the newest cancellation."""
        return self._version

    def add(self, reports: tuple[Cancellation, ...]) -> None:
        """Keep the cancellations that an entry reports.

        Invalid, outdated and repeated ones are ignored. Beyond the maximum
        number the oldest are dropped.
        """
        now_ms = self._clock.now_ms()
        for report in reports:
            kept = _Kept(report.job_id, now_ms - report.age_ms, now_ms)
            if _is_valid(report) and not self._is_repeated(kept):
                self._keep(kept)

    def since(self, version: int) -> tuple[Cancellation, ...]:
        """Return the cancellations that a caller with a version lacks.

        These are all, if the version is not one of this process.
        """
        self._expire()
        count = self._version - version
        if not 0 <= count <= len(self._kept):
            count = len(self._kept)
        if not count:
            return ()
        now_ms = self._clock.now_ms()
        newest = list(self._kept)[-count:]
        return tuple(
            Cancellation(item.job_id, now_ms - item.cancelled_ms)
            for item in newest
        )

    def _is_repeated(self, kept: _Kept) -> bool:
        known_ms = self._cancelled_ms.get(kept.job_id, -math.inf)
        return kept.cancelled_ms < known_ms + _REPETITION_MS

    def _keep(self, kept: _Kept) -> None:
        if len(self._kept) >= _MAX_CANCELLATIONS:
            self._drop_oldest()
        self._kept.append(kept)
        self._cancelled_ms[kept.job_id] = kept.cancelled_ms
        self._version += 1

    def _drop_oldest(self) -> None:
        dropped = self._kept.popleft()
        if self._cancelled_ms[dropped.job_id] == dropped.cancelled_ms:
            self._cancelled_ms.pop(dropped.job_id)

    def _expire(self) -> None:
        oldest_ms = self._clock.now_ms() - _RETENTION_MS
        while self._kept and self._kept[0].received_ms < oldest_ms:
            self._drop_oldest()


def _is_valid(report: Cancellation) -> bool:
    is_named = 0 < len(report.job_id) <= MAX_NAME_LENGTH
    return is_named and 0 <= report.age_ms < _RETENTION_MS
