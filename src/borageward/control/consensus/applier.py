"""Applying of committed entries and of their replies."""

from __future__ import annotations

import contextlib

import attrs
import trio

from borageward.control.consensus.context import ReplicaContext
from borageward.control.consensus.snapshots import snapshot_of
from borageward.control.state import StateMachine, StateReply
from borageward.control.storage import SnapshotDocument
from borageward.failures import Failure, FailureReason

# A slow follower is caught up from entries while they are kept.
_KEPT_SHARE = 4


@attrs.define(slots=True)
class _Waiter:
    """Request that waits for its entry to be applied."""

    term: int
    done: trio.Event
    reply: StateReply | Failure


class Applier:
    """Applies entries up to the commit index, in order."""

    def __init__(self, context: ReplicaContext) -> None:
        """Start with the empty state."""
        self._context = context
        self._machine = StateMachine()
        self._commit_index = 0
        self._waiters: dict[int, _Waiter] = {}
        self._snapshot_index = 0
        self._snapshot_bytes = 0
        self._logged_bytes = 0

    @property
    def machine(self) -> StateMachine:
        """Return the state."""
        return self._machine

    @property
    def commit_index(self) -> int:
        """Return the last position that a majority has synced."""
        return self._commit_index

    def advance(self, commit_index: int) -> None:
        """Apply entries up to a position that a majority has synced."""
        if commit_index <= self._commit_index:
            return
        for index in range(self._commit_index + 1, commit_index + 1):
            self._apply(index)
        self._context.changed.notify()

    async def wait_for(self, index: int, term: int) -> StateReply | Failure:
        """Return the reply to the entry at a position.

        Returns a failure when another leader replaced the entry.
        """
        waiter = _Waiter(term, trio.Event(), _outcome_unknown())
        self._waiters[index] = waiter
        with contextlib.ExitStack() as stack:
            stack.callback(self._waiters.pop, index, None)
            await waiter.done.wait()
        return waiter.reply

    def release(self) -> None:
        """Fail all waiting requests; their outcome is unknown."""
        for waiter in self._waiters.values():
            waiter.done.set()

    def restore(self, snapshot: SnapshotDocument) -> Failure | None:
        """Replace the state by that of a snapshot."""
        failure = self._machine.restore(snapshot.state)
        if failure is None:
            self._commit_index = snapshot.index
            self._note_snapshot(snapshot)
            self._context.changed.notify()
        return failure

    async def run(self) -> None:
        """Take a snapshot whenever enough entries were applied."""
        while True:
            await self._context.changed.wait()
            if self._needs_snapshot():
                await self._take_snapshot()

    def _apply(self, index: int) -> None:
        entry = self._context.log.entry(index)
        reply = self._machine.apply(entry)
        self._commit_index = index
        self._logged_bytes += len(entry.command)
        waiter = self._waiters.get(index)
        if waiter is not None:
            if waiter.term == entry.term:
                waiter.reply = reply
            waiter.done.set()

    def _needs_snapshot(self) -> bool:
        count = self._commit_index - self._snapshot_index
        if count < self._context.options.snapshot_entries:
            return False
        # Writing the state costs no more than writing the log.
        return self._logged_bytes >= self._snapshot_bytes

    async def _take_snapshot(self) -> None:
        snapshot = snapshot_of(self._machine, self._context.log)
        keep = self._context.options.snapshot_entries // _KEPT_SHARE
        self._note_snapshot(snapshot)
        failure = await self._context.log.save_snapshot(snapshot, keep)
        self._context.check(failure)
        self._context.options.log.event(
            'snapshot_taken',
            index=snapshot.index,
            bytes=len(snapshot.state),
        )

    def _note_snapshot(self, snapshot: SnapshotDocument) -> None:
        self._snapshot_index = snapshot.index
        self._snapshot_bytes = len(snapshot.state)
        self._logged_bytes = 0


def _outcome_unknown() -> Failure:
    return Failure(
        FailureReason.NO_QUORUM,
        'the leader changed before the request was acknowledged',
    )
