"""Results of finished tasks, stored for the entries that own them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeAlias

import attrs

from borageward.clock import Clock, Milliseconds
from borageward.failures import FailureReason, RunState
from borageward.guard.ledger import CLAIM_RETENTION_MS
from borageward.identity import JobId
from borageward.messages.task import TaskOutcome

# Memory of one stored result in addition to its result and detail texts.
RESULT_OVERHEAD_BYTES = 512

TaskKey: TypeAlias = tuple[JobId, int]


@attrs.define(slots=True, eq=False)
class StoredResult:
    """Result with the entry incarnation that must acknowledge it.

    ``expires_ms`` is a monotonic time.
    """

    outcome: TaskOutcome
    owner: int
    expires_ms: Milliseconds
    size_bytes: int


def lost_result(index: int) -> TaskOutcome:
    """Return ``RESULT_LOST`` for a task whose result was dropped."""
    return TaskOutcome(
        index,
        reason=FailureReason.RESULT_LOST,
        run_state=RunState.RAN,
        detail='the task ran, but its result is no longer stored',
    )


class ResultStore:
    """Stores results within a byte limit.

    Unacknowledged results are dropped only after the claim retention.
    Acknowledged results are dropped after the result retention, or earlier
    when the limit is exceeded, oldest first.
    """

    def __init__(
        self,
        clock: Clock,
        retention_ms: Milliseconds,
        max_bytes: int,
    ) -> None:
        """Create an empty store; retention starts at the acknowledgement."""
        self._clock = clock
        self._retention_ms = retention_ms
        self._max_bytes = max_bytes
        self._pending: dict[TaskKey, StoredResult] = {}
        self._acknowledged: dict[TaskKey, StoredResult] = {}
        self._pending_bytes = 0
        self._acknowledged_bytes = 0

    @property
    def full(self) -> bool:
        """Return whether unacknowledged results reach the byte limit."""
        return self._pending_bytes >= self._max_bytes

    @property
    def pending_count(self) -> int:
        """Return the number of unacknowledged results."""
        return len(self._pending)

    @property
    def stored_bytes(self) -> int:
        """Return the size of all stored results in bytes."""
        return self._pending_bytes + self._acknowledged_bytes

    def add(self, key: TaskKey, outcome: TaskOutcome, owner: int) -> None:
        """Store the result of a finished task as unacknowledged."""
        text_bytes = len(outcome.result or b'') + len(outcome.detail)
        stored = StoredResult(
            outcome,
            owner,
            self._clock.now_ms() + CLAIM_RETENTION_MS,
            RESULT_OVERHEAD_BYTES + text_bytes,
        )
        self._pending[key] = stored
        self._pending_bytes += stored.size_bytes
        self._make_room()

    def find(self, key: TaskKey) -> TaskOutcome | None:
        """Return a stored result, or ``None`` when it was dropped."""
        stored = self._pending.get(key) or self._acknowledged.get(key)
        return None if stored is None else stored.outcome

    def pending_of(self, owner: int) -> list[TaskKey]:
        """Return the keys of results that an owner has not acknowledged."""
        return [
            key
            for key, stored in self._pending.items()
            if stored.owner == owner
        ]

    def is_pending(self, key: TaskKey) -> bool:
        """Return whether a result is stored and not acknowledged."""
        return key in self._pending

    def reassign(self, keys: Iterable[TaskKey], owner: int) -> None:
        """Assign unacknowledged results to a new owner."""
        for key in keys:
            stored = self._pending.get(key)
            if stored is not None:
                stored.owner = owner

    def acknowledge(self, key: TaskKey, owner: int) -> None:
        """Mark a result as received by its owner.

        Acknowledgements by other incarnations are ignored.
        """
        stored = self._pending.get(key)
        if stored is None or stored.owner != owner:
            return
        self._pending.pop(key)
        self._pending_bytes -= stored.size_bytes
        stored.expires_ms = self._clock.now_ms() + self._retention_ms
        self._acknowledged[key] = stored
        self._acknowledged_bytes += stored.size_bytes
        self._make_room()

    def expire(self) -> None:
        """Drop results whose retention has ended."""
        for acknowledged in self._outdated(self._acknowledged):
            self._evict(acknowledged)
        for key in self._outdated(self._pending):
            self._pending_bytes -= self._pending.pop(key).size_bytes

    def _outdated(self, stored: dict[TaskKey, StoredResult]) -> list[TaskKey]:
        now_ms = self._clock.now_ms()
        outdated = []
        for key, result in stored.items():
            # Results of either table are inserted in the order of expiry.
            if result.expires_ms > now_ms:
                break
            outdated.append(key)
        return outdated

    def _make_room(self) -> None:
        while self._acknowledged and self.stored_bytes > self._max_bytes:
            self._evict(next(iter(self._acknowledged)))

    def _evict(self, key: TaskKey) -> None:
        self._acknowledged_bytes -= self._acknowledged.pop(key).size_bytes
