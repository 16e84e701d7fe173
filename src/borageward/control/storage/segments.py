"""The log on disk, in append-only segment files."""

from __future__ import annotations

from collections.abc import Sequence

import attrs
import msgspec

from borageward.control.storage.disk import Disk
from borageward.control.storage.errors import storage_failed
from borageward.control.storage.records import pack_record, scan_records
from borageward.failures import Failure, FailureReason
from borageward.messages.consensus import LogEntry

_SEGMENT_PREFIX = 'log-'
_NUMBER_DIGITS = 12
_DISK_FULL = FailureReason.DISK_FULL

_decoder = msgspec.msgpack.Decoder(tuple[LogEntry, ...])


@attrs.define(slots=True)
class _Segment:
    name: str
    last_index: int


class LogSegments:
    """Log entries, stored as records in the order of their writes.

    A record replaces all earlier entries from the index of its first entry
    on. A conflicting suffix is replaced by such a record and not by truncating
    a file, so that an entry that a majority has synced is never missing from
    the disk in between.

    ``writes`` counts the records appended since the start of the process, and
    ``bytes_written`` their length in bytes.
    """

    def __init__(self, disk: Disk) -> None:
        """Use the segments on a disk; call ``load`` before ``append``."""
        self._disk = disk
        self._segments: list[_Segment] = []
        self._segment_number = 0
        self._failure: Failure | None = None
        self.writes = 0
        self.bytes_written = 0

    async def load(self) -> list[LogEntry] | Failure:
        """Return all entries in the order of the log.

        An invalid record at the end of the last segment is what a crash during
        its write leaves behind, so it is removed from the file. Any other
        damage is reported as ``STORAGE_FAILED``.
        """
        names = await self._disk.names()
        if isinstance(names, Failure):
            return names
        names = tuple(
            name for name in names if name.startswith(_SEGMENT_PREFIX)
        )
        entries: list[LogEntry] = []
        for name in names:
            batches = await self._load_segment(name, name == names[-1])
            if isinstance(batches, Failure):
                return batches
            for batch in batches:
                _replace_suffix(entries, batch)
                self._track_last_index(name, batch)
        return entries

    async def append(self, entries: Sequence[LogEntry]) -> Failure | None:
        """Write and sync entries as one record.

        After ``DISK_FULL`` the call may be repeated. After ``STORAGE_FAILED``
        nothing more is written, and every call returns the same failure.
        """
        if self._failure is not None:
            return self._failure
        record = pack_record(msgspec.msgpack.encode(entries))
        name = _segment_name(self._segment_number)
        failure = await self._disk.append(name, record)
        if failure is None:
            self.writes += 1
            self.bytes_written += len(record)
            self._track_last_index(name, entries)
        elif failure.reason is not _DISK_FULL:
            self._failure = failure
        return failure

    async def start_segment(self, covered_index: int) -> Failure | None:
        """Start a new segment and remove those that a snapshot covers.

        ``covered_index`` is the position of the last entry that the snapshot
        covers.
        """
        self._segment_number += 1
        for segment in list(self._segments):
            if segment.last_index > covered_index:
                # Later segments stay as well: their records may replace
                # entries of this one.
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
        self._segment_number = int(name.removeprefix(_SEGMENT_PREFIX))
        scan = scan_records(document)
        torn = scan.valid_bytes < len(document)
        if scan.damaged or (torn and not is_last):
            return storage_failed(
                f'{name}: log segment is damaged at byte {scan.valid_bytes}',
            )
        if torn:
            failure = await self._disk.truncate(name, scan.valid_bytes)
            if failure is not None:
                return failure
        return _decode(name, scan.payloads)

    def _track_last_index(self, name: str, entries: Sequence[LogEntry]) -> None:
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
        return storage_failed(
            f'{name}: log segment cannot be decoded: {detail}',
        )


def _replace_suffix(entries: list[LogEntry], batch: Sequence[LogEntry]) -> None:
    if not batch:
        return
    while entries and entries[-1].index >= batch[0].index:
        entries.pop()
    entries.extend(batch)


def _segment_name(number: int) -> str:
    digits = str(number).zfill(_NUMBER_DIGITS)
    return f'{_SEGMENT_PREFIX}{digits}'
