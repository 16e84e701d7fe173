"""Application of committed log entries to the state machine."""

from __future__ import annotations

import contextlib

import attrs
import trio

from borageward.control.consensus.context import ReplicaContext
from borageward.control.consensus.snapshots import create_snapshot
from borageward.control.state import StateMachine, StateReply
from borageward.control.storage import SnapshotDocument
from borageward.failures import Failure, FailureReason

# ``snapshot_entries`` divided by this is the number of entries that stay in
# memory although a snapshot covers them, so that a slow follower can catch up
# without the snapshot.
_RETAINED_ENTRIES_DIVISOR = 4


@attrs.define(slots=True)
class _Waiter:
    """A request that waits until its log entry is applied."""

    term: int
    done: trio.Event
    reply: StateReply | Failure


class Applier:
    """Applies entries up to the commit index, in order."""

    def __init__(self, context: ReplicaContext) -> None:
        """Create an empty state machine."""
        self._context = context
        self._machine = StateMachine()
        self._waiters: dict[int, _Waiter] = {}
        self._snapshot_index = 0
        self._snapshot_bytes = 0
        self._logged_bytes = 0

    @property
    def machine(self) -> StateMachine:
        """Return the state machine."""
        return self._machine

    @property
    def commit_index(self) -> int:
        """Return the highest index that is committed and applied."""
        return self._context.commit_index

    def advance(self, commit_index: int) -> None:
        """Apply the entries up to a new commit index."""
        if commit_index <= self._context.commit_index:
            return
        for index in range(self._context.commit_index + 1, commit_index + 1):
            self._apply(index)
        self._context.changed.notify()

    async def wait_for(self, index: int, term: int) -> StateReply | Failure:
        """Wait until the entry at an index is applied and return its reply.

        Returns a ``NO_QUORUM`` failure when an entry of another term was
        applied at that index or when this replica stopped leading. After the
        latter, the entry may still be applied.
        """
        waiter = _Waiter(term, trio.Event(), _outcome_unknown())
        self._waiters[index] = waiter
        with contextlib.ExitStack() as stack:
            stack.callback(self._waiters.pop, index, None)
            await waiter.done.wait()
        return waiter.reply

    def fail_waiters(self) -> None:
        """Fail all waiting requests, whose outcome is unknown."""
        for waiter in self._waiters.values():
            waiter.done.set()

    def restore(self, snapshot: SnapshotDocument) -> Failure | None:
        """Replace the state by a snapshot.

        Returns a failure when the snapshot cannot be decoded.
        """
        failure = self._machine.restore(snapshot.state)
        if failure is None:
            self._context.commit_index = snapshot.index
            self._record_snapshot(snapshot)
            self._context.changed.notify()
        return failure

    async def run(self) -> None:
        """Store a snapshot whenever enough entries have been applied."""
        while True:
            await self._context.changed.wait()
            if self._needs_snapshot():
                await self._take_snapshot()

    def _apply(self, index: int) -> None:
        entry = self._context.log.entry(index)
        reply = self._machine.apply(entry)
        self._context.commit_index = index
        self._logged_bytes += len(entry.command)
        waiter = self._waiters.get(index)
        if waiter is not None:
            if waiter.term == entry.term:
                waiter.reply = reply
            waiter.done.set()

    def _needs_snapshot(self) -> bool:
        count = self._context.commit_index - self._snapshot_index
        if count < self._context.options.snapshot_entries:
            return False
        # Waiting until the log has grown by the size of the last snapshot
        # keeps the cost of writing snapshots below that of writing the log.
        return self._logged_bytes >= self._snapshot_bytes

    async def _take_snapshot(self) -> None:
        snapshot = create_snapshot(self._machine, self._context.log)
        keep_entries = (
            self._context.options.snapshot_entries // _RETAINED_ENTRIES_DIVISOR
        )
        self._record_snapshot(snapshot)
        failure = await self._context.log.save_snapshot(snapshot, keep_entries)
        self._context.check_storage_result(failure)
        self._context.options.log.event(
            'snapshot_taken',
            index=snapshot.index,
            bytes=len(snapshot.state),
        )

    def _record_snapshot(self, snapshot: SnapshotDocument) -> None:
        self._snapshot_index = snapshot.index
        self._snapshot_bytes = len(snapshot.state)
        self._logged_bytes = 0


def _outcome_unknown() -> Failure:
    return Failure(
        FailureReason.NO_QUORUM,
        'the leader changed before the request was acknowledged',
    )
