"""Containment of a queue whose tasks crash endpoints.

When one queue brings deadly tasks faster than endpoints come back, each of them
takes down another endpoint and the runs of all queues there, until none is
left. Such a queue is therefore kept to a part of the endpoints of its pool, and
the other queues to the rest. All entries choose the same part, because it
follows from the names of the guards.
"""

from __future__ import annotations

import collections
import hashlib
import math
from collections.abc import Iterable

import attrs

from borageward.clock import Clock, Milliseconds

# Tasks of a queue that were given up as the cause of crashes until the queue is
# contained. A single one may have been blamed by mistake.
_MIN_CULPRITS = 2
# Culprits count for this time; a crashed endpoint is back after some seconds.
_RETENTION_MS = 6000.0
# Share of the endpoints that a contained queue may use.
_ENDPOINT_SHARE = 1 / 3
_HASH_BYTES = 8


@attrs.frozen(slots=True)
class _Culprit:
    pool: str
    queue: str
    blamed_ms: Milliseconds


class CrashContainment:
    """Decides which queues are contained, and at which endpoints."""

    def __init__(self, clock: Clock) -> None:
        """Start without a contained queue."""
        self._clock = clock
        self._culprits: collections.deque[_Culprit] = collections.deque()

    @property
    def has_culprits(self) -> bool:
        """Return whether any task was given up recently."""
        self._forget_old()
        return bool(self._culprits)

    def report_culprit(self, pool: str, queue: str) -> None:
        """Record that a task of a queue was given up for its crashes."""
        self._culprits.append(_Culprit(pool, queue, self._clock.now_ms()))

    def contained_queue(self, pool: str) -> str:
        """Return the queue of a pool that is contained, or empty.

        It has most of the recent culprits of its pool.
        """
        self._forget_old()
        by_queue = collections.Counter(
            item.queue for item in self._culprits if item.pool == pool
        )
        for queue, culprits in by_queue.items():
            if culprits >= _MIN_CULPRITS and culprits > by_queue.total() / 2:
                return queue
        return ''

    def _forget_old(self) -> None:
        oldest_ms = self._clock.now_ms() - _RETENTION_MS
        while self._culprits and self._culprits[0].blamed_ms < oldest_ms:
            self._culprits.popleft()


def containing_guards(guards: Iterable[str]) -> frozenset[str]:
    """Return the guards whose endpoints a contained queue may use."""
    ranking = sorted(guards, key=_score)
    return frozenset(ranking[: math.ceil(_ENDPOINT_SHARE * len(ranking))])


def _score(guard: str) -> bytes:
    return hashlib.blake2b(guard.encode(), digest_size=_HASH_BYTES).digest()
