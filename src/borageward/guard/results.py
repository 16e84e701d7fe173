"""Results of finished tasks, kept until entries have them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeAlias

import attrs

from borageward.clock import Clock, Milliseconds
from borageward.failures import FailureReason, RunState
from borageward.guard.ledger import CLAIM_RETENTION_MS
from borageward.identity import JobId
from borageward.messages.task import TaskOutcome

# Memory of one stored result beside its text.
RESULT_OVERHEAD_BYTES = 512

TaskKey: TypeAlias = tuple[JobId, int]


@attrs.define(slots=True, eq=False)
class StoredResult:
    """Result with the entry incarnation that is to acknowledge it."""

    outcome: TaskOutcome
    owner: int
    expires_ms: Milliseconds
    size_bytes: int


def lost_result(index: int) -> TaskOutcome:
    """Return the outcome of a task that ran and whose result is gone."""
    return TaskOutcome(
        index,
        reason=FailureReason.RESULT_LOST,
        run_state=RunState.RAN,
        detail='the result is no longer kept',
    )


class ResultStore:
    """Results within a byte limit.

    A result that is not acknowledged is dropped by time alone, after the
    claim retention. Acknowledged ones make room, oldest first.
    """

    def __init__(
        self,
        clock: Clock,
        retention_ms: Milliseconds,
        max_bytes: int,
    ) -> None:
        """Prepare an empty store; the retention counts from the answer."""
        self._clock = clock
        self._retention_ms = retention_ms
        self._max_bytes = max_bytes
        self._pending: dict[TaskKey, StoredResult] = {}
        self._acknowledged: dict[TaskKey, StoredResult] = {}
        self._pending_bytes = 0
        self._acknowledged_bytes = 0

    @property
    def full(self) -> bool:
        """Tell whether unacknowledged results fill the store."""
        return self._pending_bytes >= self._max_bytes

    @property
    def pending_count(self) -> int:
        """Return the number of unacknowledged results."""
        return len(self._pending)

    @property
    def stored_bytes(self) -> int:
        """Return the bytes of all results."""
        return self._pending_bytes + self._acknowledged_bytes

    def add(self, key: TaskKey, outcome: TaskOutcome, owner: int) -> None:
        """Keep the result of a task that finished."""
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
        """Return a result that is still kept."""
        stored = self._pending.get(key) or self._acknowledged.get(key)
        return None if stored is None else stored.outcome

    def pending_of(self, owner: int) -> list[TaskKey]:
        """Return the tasks whose results an owner has not acknowledged."""
        return [
            key
            for key, stored in self._pending.items()
            if stored.owner == owner
        ]

    def is_pending(self, key: TaskKey) -> bool:
        """Tell whether a result waits for its acknowledgement."""
        return key in self._pending

    def move(self, keys: Iterable[TaskKey], owner: int) -> None:
        """Let a new owner acknowledge results."""
        for key in keys:
            stored = self._pending.get(key)
            if stored is not None:
                stored.owner = owner

    def acknowledge(self, key: TaskKey, owner: int) -> None:
        """Note that the owner has a result; other senders change nothing."""
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
        """Drop results whose time has passed."""
        for acknowledged in self._outdated(self._acknowledged):
            self._evict(acknowledged)
        for key in self._outdated(self._pending):
            self._pending_bytes -= self._pending.pop(key).size_bytes

    def _outdated(self, stored: dict[TaskKey, StoredResult]) -> list[TaskKey]:
        now_ms = self._clock.now_ms()
        outdated = []
        for key, result in stored.items():
            # Both tables are in the order of their expiry.
            if result.expires_ms > now_ms:
                break
            outdated.append(key)
        return outdated

    def _make_room(self) -> None:
        while self._acknowledged and self.stored_bytes > self._max_bytes:
            self._evict(next(iter(self._acknowledged)))

    def _evict(self, key: TaskKey) -> None:
        self._acknowledged_bytes -= self._acknowledged.pop(key).size_bytes
