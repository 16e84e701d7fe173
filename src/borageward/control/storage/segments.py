"""The log on disk: append-only segments of records."""

from __future__ import annotations

from collections.abc import Sequence

import attrs
import msgspec

from borageward.control.storage.disk import Disk
from borageward.control.storage.errors import storage_failed
from borageward.control.storage.records import pack_record, scan_records
from borageward.failures import Failure, FailureReason
from borageward.messages.consensus import LogEntry

_PREFIX = 'log-'
_NUMBER_DIGITS = 12
_DISK_FULL = FailureReason.DISK_FULL

_decoder = msgspec.msgpack.Decoder(tuple[LogEntry, ...])


@attrs.define(slots=True)
class _Segment:
    name: str
    last_index: int


class LogSegments:
    """Entries in the order of their writes.

    A later record replaces the entries from its first index on, so a
    conflicting suffix is replaced without cutting a file: entries that a
    majority has synced are never absent from the disk.
    """

    def __init__(self, disk: Disk) -> None:
        """Use the segments of a disk; ``load`` comes first."""
        self._disk = disk
        self._segments: list[_Segment] = []
        self._number = 0
        self._failure: Failure | None = None
        self.writes = 0
        self.bytes_written = 0

    async def load(self) -> list[LogEntry] | Failure:
        """Return all entries in order; cuts a torn tail.

        Returns ``STORAGE_FAILED`` for damage before the tail.
        """
        names = await self._disk.names()
        if isinstance(names, Failure):
            return names
        names = tuple(name for name in names if name.startswith(_PREFIX))
        entries: list[LogEntry] = []
        for name in names:
            batches = await self._load_segment(name, name == names[-1])
            if isinstance(batches, Failure):
                return batches
            for batch in batches:
                _extend(entries, batch)
                self._note(name, batch)
        return entries

    async def append(self, entries: Sequence[LogEntry]) -> Failure | None:
        """Write and sync entries as one record.

        After ``STORAGE_FAILED`` nothing is written any more.
        """
        if self._failure is not None:
            return self._failure
        record = pack_record(msgspec.msgpack.encode(entries))
        name = _name(self._number)
        failure = await self._disk.append(name, record)
        if failure is None:
            self.writes += 1
            self.bytes_written += len(record)
            self._note(name, entries)
        elif failure.reason is not _DISK_FULL:
            self._failure = failure
        return failure

    async def start_segment(self, covered_index: int) -> Failure | None:
        """Begin a new segment and remove those that a snapshot covers."""
        self._number += 1
        for segment in list(self._segments):
            if segment.last_index > covered_index:
                # A later segment may replace entries of this one.
                break
            failure = await self._disk.remove(segment.name)
            if failure is not None:
                return failure
            self._segments.remove(segment)
        return None

    async def _load_segment(
        self,
        name: str,
        is_last: bool,
    ) -> list[tuple[LogEntry, ...]] | Failure:
        document = await self._disk.read(name)
        if isinstance(document, Failure):
            return document
        self._number = int(name.removeprefix(_PREFIX))
        scan = scan_records(document)
        torn = scan.valid_bytes < len(document)
        if scan.damaged or (torn and not is_last):
            return storage_failed(f'{name} is damaged at {scan.valid_bytes}')
        if torn:
            failure = await self._disk.truncate(name, scan.valid_bytes)
            if failure is not None:
                return failure
        return _decode(name, scan.payloads)

    def _note(self, name: str, entries: Sequence[LogEntry]) -> None:
        last_index = max((entry.index for entry in entries), default=0)
        if not self._segments or self._segments[-1].name != name:
            self._segments.append(_Segment(name, 0))
        segment = self._segments[-1]
        segment.last_index = max(segment.last_index, last_index)


def _decode(
    name: str,
    payloads: Sequence[bytes],
) -> list[tuple[LogEntry, ...]] | Failure:
    try:
        return [_decoder.decode(payload) for payload in payloads]
    except msgspec.DecodeError as error:
        detail = str(error)
        return storage_failed(f'{name}: {detail}')


def _extend(entries: list[LogEntry], batch: Sequence[LogEntry]) -> None:
    if not batch:
        return
    while entries and entries[-1].index >= batch[0].index:
        entries.pop()
    entries.extend(batch)


def _name(number: int) -> str:
    digits = str(number).zfill(_NUMBER_DIGITS)
    return f'{_PREFIX}{digits}'
