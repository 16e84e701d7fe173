"""Records of the log file: marker, length, CRC32, payload.

One record holds the entries of one synced write. The next record is written
after that sync, so only the last record of a file can be torn, and a damaged
record before another one proves that the disk changed synced data.
"""

from __future__ import annotations

import struct
import zlib

import attrs

_MARKER = b'BGWR'
_HEADER = struct.Struct('<4sII')


@attrs.frozen(slots=True)
class RecordScan:
    """Records of a file.

    ``valid_bytes`` is the length up to the first incomplete record.
    ``damaged`` tells that a valid record follows an invalid one.
    """

    payloads: tuple[bytes, ...]
    valid_bytes: int
    damaged: bool


def pack_record(payload: bytes) -> bytes:
    """Return a payload with its header."""
    header = _HEADER.pack(_MARKER, len(payload), zlib.crc32(payload))
    return header + payload


def scan_records(document: bytes) -> RecordScan:
    """Return the records of a file in order."""
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
