"""Entries of the log that are held in memory."""

from __future__ import annotations

import itertools
from collections.abc import Sequence

import attrs
import msgspec

from borageward.control.storage import SnapshotDocument
from borageward.messages.consensus import LogCommand, LogEntry, SetReplicas

_command_decoder = msgspec.msgpack.Decoder(LogCommand)
_REPLICAS_TAG = SetReplicas.__name__.encode()


@attrs.frozen(slots=True)
class _ReplicasAt:
    """Set of replicas, in use from its log position on."""

    index: int
    replicas: SetReplicas


class LogWindow:
    """Entries after a base position, which a snapshot covers."""

    def __init__(self, initial: SetReplicas) -> None:
        """Start empty, with the replicas of a new cluster."""
        self._replicas = [_ReplicasAt(0, initial)]
        self._base_index = 0
        self._base_term = 0
        self._base_wall_ms = 0
        self._entries: list[LogEntry] = []

    @property
    def base_index(self) -> int:
        """Return the last position that only the snapshot covers."""
        return self._base_index

    @property
    def last_index(self) -> int:
        """Return the position of the last entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def last_wall_ms(self) -> int:
        """Return the wall time of the last entry."""
        if self._entries:
            return self._entries[-1].wall_ms
        return self._base_wall_ms

    @property
    def replicas(self) -> SetReplicas:
        """Return the set of replicas in use; the newest one in the log."""
        return self._replicas[-1].replicas

    @property
    def replicas_index(self) -> int:
        """Return the position of the set of replicas in use."""
        return self._replicas[-1].index

    def term_at(self, index: int) -> int | None:
        """Return the term of a position, or nothing when it is not kept."""
        if index == self._base_index:
            return self._base_term
        if self._base_index < index <= self.last_index:
            return self._entries[index - self._base_index - 1].term
        return None

    def entry(self, index: int) -> LogEntry:
        """Return the entry at a kept position."""
        return self._entries[index - self._base_index - 1]

    def entries_from(self, index: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries from a kept position on; one at least, if any."""
        chosen: list[LogEntry] = []
        remaining = max_bytes
        start = index - self._base_index - 1
        for entry in itertools.islice(self._entries, start, None):
            remaining -= len(entry.command)
            if chosen and remaining < 0:
                break
            chosen.append(entry)
        return tuple(chosen)

    def is_as_new(self, last_index: int, last_term: int) -> bool:
        """Tell whether another log is at least as new as this one."""
        mine = (self.last_term, self.last_index)
        return (last_term, last_index) >= mine

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Append entries in memory; ``flush`` makes them durable."""
        for entry in entries:
            self._add(entry)

    def replicas_at(self, index: int) -> SetReplicas:
        """Return the set of replicas that was in use at a position."""
        current = self._replicas[0].replicas
        for item in self._replicas:
            if item.index <= index:
                current = item.replicas
        return current

    def _truncate(self, index: int) -> None:
        """Drop the entries from a position on."""
        self._entries = self._entries[: index - self._base_index - 1]
        while self._replicas[-1].index >= index:
            self._replicas.pop()

    def _add(self, entry: LogEntry) -> None:
        self._entries.append(entry)
        if _REPLICAS_TAG not in entry.command:
            return
        command = _command_decoder.decode(entry.command)
        if isinstance(command, SetReplicas):
            self._replicas.append(_ReplicasAt(entry.index, command))

    def _drop_until(self, index: int) -> None:
        term = self.term_at(index)
        if term is None or index <= self._base_index:
            return
        self._base_wall_ms = self.entry(index).wall_ms
        self._entries = self._entries[index - self._base_index :]
        self._base_index = index
        self._base_term = term

    def _rebase(self, snapshot: SnapshotDocument) -> None:
        self._base_index = snapshot.index
        self._base_term = snapshot.term
        self._base_wall_ms = snapshot.wall_ms
        self._entries = []
        self._replicas = [_ReplicasAt(snapshot.index, snapshot.replicas)]
