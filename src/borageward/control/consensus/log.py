"""The log of one replica, in memory and on disk."""

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
    """Log whose entries are appended in memory and synced in batches.

    ``flush`` writes all appended entries to the disk with one sync. Entries
    that are appended while a sync runs are part of the next one.
    """

    def __init__(
        self,
        segments: LogSegments,
        files: ReplicaFiles,
        initial: SetReplicas,
    ) -> None:
        """Create an empty log; call ``load`` before use."""
        super().__init__(initial)
        self._segments = segments
        self._files = files
        self._synced_index = 0
        self._snapshot_index = 0
        self._flush_lock = trio.Lock()
        self._snapshot_lock = trio.Lock()

    @property
    def synced_index(self) -> int:
        """Return the last index that is synced to this disk."""
        return self._synced_index

    @property
    def segments(self) -> LogSegments:
        """Return the segment files of the log, with their counters."""
        return self._segments

    async def load(self) -> SnapshotDocument | Failure | None:
        """Read the log from the disk and return its snapshot.

        Returns ``None`` when there is no snapshot, and a failure when the
        files cannot be read or are damaged.
        """
        snapshot = await self._files.read_snapshot()
        if isinstance(snapshot, Failure):
            return snapshot
        entries = await self._segments.load()
        if isinstance(entries, Failure):
            return entries
        if snapshot is not None:
            self._snapshot_index = snapshot.index
            self._reset_to_snapshot(snapshot)
        for entry in entries:
            # A stored entry of an earlier term than the snapshot was replaced
            # by the snapshot.
            if entry.index == self.last_index + 1:
                if entry.term >= self.last_term:
                    self._add(entry)
        self._synced_index = self.last_index
        return snapshot

    def truncate(self, index: int) -> None:
        """Drop the uncommitted entries from an index on."""
        self._truncate(index)
        self._synced_index = min(self._synced_index, index - 1)

    async def flush(self) -> Failure | None:
        """Write and sync all entries that are not on the disk yet."""
        with trio.CancelScope(shield=True):
            async with self._flush_lock:
                failure = await self._flush()
        return failure

    async def probe_disk(self) -> Failure | None:
        """Write an empty record; return a failure if the disk refuses it."""
        with trio.CancelScope(shield=True):
            async with self._flush_lock:
                failure = await self._segments.append(())
        return failure

    async def save_snapshot(
        self,
        snapshot: SnapshotDocument,
        keep_entries: int,
    ) -> Failure | None:
        """Store a snapshot and drop the entries that it covers.

        The last ``keep_entries`` entries that it covers stay in memory.
        """
        failure = await self._store_snapshot(snapshot, snapshot.index)
        if failure is None:
            self._drop_until(snapshot.index - keep_entries)
        return failure

    async def install_snapshot(
        self,
        snapshot: SnapshotDocument,
    ) -> Failure | None:
        """Replace the whole log by a snapshot that the leader sent."""
        failure = await self._store_snapshot(snapshot, sys.maxsize)
        if failure is None:
            self._reset_to_snapshot(snapshot)
            self._synced_index = snapshot.index
        return failure

    async def read_snapshot(self) -> SnapshotDocument | Failure | None:
        """Return the stored snapshot, or ``None`` before the first one."""
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
        # Entries at the end of the batch may have been replaced during the
        # write; only those that are still in the log count as synced.
        for entry in reversed(batch):
            if self.term_at(entry.index) == entry.term:
                self._synced_index = entry.index
                break
        return None
