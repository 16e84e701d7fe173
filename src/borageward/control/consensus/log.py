"""The log of one replica: in memory from the snapshot on, and on disk."""

from __future__ import annotations

import sys

import trio

from borageward.control.consensus.window import LogWindow
from borageward.control.storage import (
    LogSegments,
    ReplicaFiles,
    SnapshotDocument,
)
from borageward.failures import Failure
from borageward.messages.consensus import SetReplicas


class ReplicatedLog(LogWindow):
    """The log in memory and on disk.

    Entries are appended in memory and made durable by ``flush``; whatever was
    appended while a sync ran goes into the next one.
    """

    def __init__(
        self,
        segments: LogSegments,
        files: ReplicaFiles,
        initial: SetReplicas,
    ) -> None:
        """Prepare an empty log; ``load`` comes first."""
        super().__init__(initial)
        self._segments = segments
        self._files = files
        self._synced_index = 0
        self._snapshot_index = 0
        self._flush_lock = trio.Lock()
        self._snapshot_lock = trio.Lock()

    @property
    def synced_index(self) -> int:
        """Return the last position that is durable on this disk."""
        return self._synced_index

    @property
    def segments(self) -> LogSegments:
        """Return the files of the log, with their counters."""
        return self._segments

    async def load(self) -> SnapshotDocument | Failure | None:
        """Read the disk and return the snapshot, if there is one."""
        snapshot = await self._files.read_snapshot()
        if isinstance(snapshot, Failure):
            return snapshot
        entries = await self._segments.load()
        if isinstance(entries, Failure):
            return entries
        if snapshot is not None:
            self._snapshot_index = snapshot.index
            self._rebase(snapshot)
        for entry in entries:
            # Entries older than the snapshot's term were replaced by it.
            if entry.index == self.last_index + 1:
                if entry.term >= self.last_term:
                    self._add(entry)
        self._synced_index = self.last_index
        return snapshot

    def truncate(self, index: int) -> None:
        """Drop the entries from a position on, which no majority holds."""
        self._truncate(index)
        self._synced_index = min(self._synced_index, index - 1)

    async def flush(self) -> Failure | None:
        """Write and sync all entries that are not durable yet."""
        with trio.CancelScope(shield=True):
            async with self._flush_lock:
                failure = await self._flush()
        return failure

    async def probe(self) -> Failure | None:
        """Tell whether the disk takes writes, by an empty record."""
        with trio.CancelScope(shield=True):
            async with self._flush_lock:
                failure = await self._segments.append(())
        return failure

    async def save_snapshot(
        self,
        snapshot: SnapshotDocument,
        keep_entries: int,
    ) -> Failure | None:
        """Store a snapshot of applied entries and drop what it covers."""
        failure = await self._store_snapshot(snapshot, snapshot.index)
        if failure is None:
            self._drop_until(snapshot.index - keep_entries)
        return failure

    async def install_snapshot(
        self,
        snapshot: SnapshotDocument,
    ) -> Failure | None:
        """Replace the log by the snapshot of a leader."""
        failure = await self._store_snapshot(snapshot, sys.maxsize)
        if failure is None:
            self._rebase(snapshot)
            self._synced_index = snapshot.index
        return failure

    async def read_snapshot(self) -> SnapshotDocument | Failure | None:
        """Return the stored snapshot."""
        return await self._files.read_snapshot()

    async def _store_snapshot(
        self,
        snapshot: SnapshotDocument,
        covered_index: int,
    ) -> Failure | None:
        with trio.CancelScope(shield=True):
            async with self._snapshot_lock:
                failure = await self._replace_snapshot(snapshot, covered_index)
        return failure

    async def _replace_snapshot(
        self,
        snapshot: SnapshotDocument,
        covered_index: int,
    ) -> Failure | None:
        if snapshot.index <= self._snapshot_index:
            return None
        failure = await self._files.write_snapshot(snapshot)
        if failure is not None:
            return failure
        self._snapshot_index = snapshot.index
        async with self._flush_lock:
            return await self._segments.start_segment(covered_index)

    async def _flush(self) -> Failure | None:
        start = self._synced_index + 1
        batch = self._entries[start - self._base_index - 1 :]
        if not batch:
            return None
        failure = await self._segments.append(batch)
        if failure is not None:
            return failure
        # A conflicting suffix may have been replaced during the write.
        for entry in reversed(batch):
            if self.term_at(entry.index) == entry.term:
                self._synced_index = entry.index
                break
        return None
