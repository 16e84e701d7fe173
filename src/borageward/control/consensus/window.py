"""The part of the log that is held in memory."""

from __future__ import annotations

import itertools
from collections.abc import Sequence

import attrs
import msgspec

from borageward.control.storage import SnapshotDocument
from borageward.messages.consensus import (
    LogCommand,
    LogEntry,
    SetJointReplicas,
    SetReplicas,
)

_command_decoder = msgspec.msgpack.Decoder(LogCommand)
_REPLICAS_TAGS = tuple(
    message.__name__.encode() for message in (SetReplicas, SetJointReplicas)
)


@attrs.frozen(slots=True)
class _ReplicasAt:
    """Replica set that is in use from a log index on."""

    index: int
    replicas: SetReplicas


class LogWindow:
    """Log entries after a base index; a snapshot covers those up to it."""

    def __init__(self, initial: SetReplicas) -> None:
        """Start empty, with the initial replica set of a new cluster."""
        self._replicas = [_ReplicasAt(0, initial)]
        self._base_index = 0
        self._base_term = 0
        self._base_wall_ms = 0
        self._entries: list[LogEntry] = []

    @property
    def base_index(self) -> int:
        """Return the last index that is no longer held in memory."""
        return self._base_index

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, or the base index."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the entry at the last index."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def last_wall_ms(self) -> int:
        """Return the wall time, in ms, of the entry at the last index."""
        if self._entries:
            return self._entries[-1].wall_ms
        return self._base_wall_ms

    @property
    def replicas(self) -> SetReplicas:
        """Return the replica set in use, the newest in the log.

        A replica set is in use as soon as it is appended, before it is
        committed.
        """
        return self._replicas[-1].replicas

    @property
    def replicas_index(self) -> int:
        """Return the log index of the replica set in use."""
        return self._replicas[-1].index

    def term_at(self, index: int) -> int | None:
        """Return the term at an index, or ``None`` when it is not held."""
        if index == self._base_index:
            return self._base_term
        if self._base_index < index <= self.last_index:
            return self._entries[index - self._base_index - 1].term
        return None

    def entry(self, index: int) -> LogEntry:
        """Return the entry at an index that is held in memory."""
        return self._entries[index - self._base_index - 1]

    def entries_between(
        self,
        index: int,
        last_index: int,
        max_bytes: int,
    ) -> tuple[LogEntry, ...]:
        """Return the entries from an index to another, up to a size in bytes.

        The first entry is returned whatever its size.
        """
        chosen: list[LogEntry] = []
        remaining = max_bytes
        start = index - self._base_index - 1
        end = last_index - self._base_index
        for entry in itertools.islice(self._entries, start, end):
            remaining -= len(entry.command)
            if chosen and remaining < 0:
                break
            chosen.append(entry)
        return tuple(chosen)

    def is_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Return whether another log is at least as up to date as this one.

        The other log ends with an entry of ``last_term`` at ``last_index``.
        """
        own_position = (self.last_term, self.last_index)
        return (last_term, last_index) >= own_position

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Append entries in memory; ``flush`` makes them durable."""
        for entry in entries:
            self._add(entry)

    def replicas_at(self, index: int) -> SetReplicas:
        """Return the replica set that was in use at an index."""
        current = self._replicas[0].replicas
        for item in self._replicas:
            if item.index <= index:
                current = item.replicas
        return current

    def _truncate(self, index: int) -> None:
        """Drop the entries from an index on, and their replica sets."""
        self._entries = self._entries[: index - self._base_index - 1]
        while self._replicas[-1].index >= index:
            self._replicas.pop()

    def _add(self, entry: LogEntry) -> None:
        self._entries.append(entry)
        if not any(tag in entry.command for tag in _REPLICAS_TAGS):
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

    def _reset_to_snapshot(self, snapshot: SnapshotDocument) -> None:
        self._base_index = snapshot.index
        self._base_term = snapshot.term
        self._base_wall_ms = snapshot.wall_ms
        self._entries = []
        self._replicas = [_ReplicasAt(snapshot.index, snapshot.replicas)]
