"""Format of the records that all files of a replica consist of.

A record is a marker, the payload length, the CRC32 of the payload and the
payload itself.

A record of the log holds the entries of one synced write. The next record is
written only after that sync, so a crash can leave only the last record of a
file incomplete. An invalid record that is followed by a valid one therefore
means that the disk changed data that was already synced.
"""

from __future__ import annotations

import struct
import zlib

import attrs

_MARKER = b'BGWR'
_HEADER = struct.Struct('<4sII')


@attrs.frozen(slots=True)
class RecordScan:
    """Result of reading the records of a file.

    ``payloads`` are those of the valid records at the start of the file, which
    take ``valid_bytes`` together with their headers. ``damaged`` is set if a
    valid record follows an invalid one.
    """

    payloads: tuple[bytes, ...]
    valid_bytes: int
    damaged: bool


def pack_record(payload: bytes) -> bytes:
    """Return a record: the header followed by the payload."""
    header = _HEADER.pack(_MARKER, len(payload), zlib.crc32(payload))
    return header + payload


def scan_records(document: bytes) -> RecordScan:
    """Read the records of a file up to the first invalid one."""
    payloads = []
    offset = 0
    while True:
        payload = _payload_at(document, offset)
        if payload is None:
            break
        payloads.append(payload)
        offset += _HEADER.size + len(payload)
    damaged = _has_record_after(document, offset)
    return RecordScan(tuple(payloads), offset, damaged)


def _payload_at(document: bytes, offset: int) -> bytes | None:
    start = offset + _HEADER.size
    if start > len(document):
        return None
    marker, length, checksum = _HEADER.unpack_from(document, offset)
    payload = document[start : start + length]
    if marker != _MARKER or len(payload) != length:
        return None
    return payload if zlib.crc32(payload) == checksum else None


def _has_record_after(document: bytes, offset: int) -> bool:
    position = document.find(_MARKER, offset + 1)
    while position >= 0:
        if _payload_at(document, position) is not None:
            return True
        position = document.find(_MARKER, position + 1)
    return False
