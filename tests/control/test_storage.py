"""Storage of a replica: torn writes, damaged files and failing writes."""

from __future__ import annotations

import errno
import os
import random

import pytest

from borageward.control.storage import FileDisk, LogSegments
from borageward.control.storage.records import pack_record, scan_records
from borageward.failures import FailureReason
from borageward.messages.consensus import LogEntry
from tests.control.fakes import FakeDisk, Gate, Medium


def entry(index, term=1):
    return LogEntry(index, term, 0, b'command')


async def write_records(disk):
    """Write three records, the last of which replaces an entry.

    Return the entries that a reader has to find.
    """
    segments = LogSegments(disk)
    assert await segments.load() == []
    for batch in ([entry(1), entry(2)], [entry(3)], [entry(3, 2)]):
        assert await segments.append(batch) is None
    return [entry(1), entry(2), entry(3, 2)]


@pytest.fixture(params=['file', 'memory'])
def disk(request, tmp_path):
    if request.param == 'file':
        return FileDisk(tmp_path / 'data')
    return FakeDisk(Medium(), Gate(), random.Random(1))


async def test_every_torn_tail_is_cut(disk, autojump_clock):
    """Guards against a crash during a write that loses synced records.

    The crash may leave any part of the last record in the file.
    """
    await write_records(disk)
    name = (await disk.names())[0]
    document = await disk.read(name)
    record = pack_record(b'x' * 40)
    lengths = range(1, len(record))
    for length in lengths:
        await disk.truncate(name, len(document))
        await disk.append(name, record[:length])
        loaded = await LogSegments(disk).load()
        assert loaded == [entry(1), entry(2), entry(3, 2)]
        assert await disk.read(name) == document


async def test_damage_before_the_tail_is_refused(disk, autojump_clock):
    """Guards against synced entries that are dropped without an error.

    A disk that changes a byte of an earlier record would otherwise look like
    one with an incomplete last record, and the replica would start without
    entries that a majority has counted as stored.
    """
    await write_records(disk)
    name = (await disk.names())[0]
    document = await disk.read(name)
    second = len(document) // 2
    for position in range(second):
        damaged = bytearray(document)
        damaged[position] ^= 0x41
        await disk.replace(name, bytes(damaged))
        failure = await LogSegments(disk).load()
        assert failure.reason is FailureReason.STORAGE_FAILED


async def test_snapshot_removes_covered_segments(disk, autojump_clock):
    """Guards against segments that are kept for ever or removed too early.

    A segment may be removed only when the snapshot covers all its entries.
    """
    await write_records(disk)
    segments = LogSegments(disk)
    await segments.load()
    assert await segments.start_segment(2) is None
    await segments.append([entry(4, 2)])
    assert len(await disk.names()) == 2
    await segments.start_segment(3)
    assert await LogSegments(disk).load() == [entry(4, 2)]


@pytest.mark.parametrize(
    ('call', 'reason'),
    [
        ('write', FailureReason.DISK_FULL),
        ('fdatasync', FailureReason.STORAGE_FAILED),
    ],
)
async def test_failed_write(call, reason, tmp_path, monkeypatch):
    """Guards against an acknowledged entry that was not stored.

    A write without space is undone and can be repeated. After a failed sync
    the content of the disk is unknown, so every later write has to fail.
    """
    disk = FileDisk(tmp_path)
    expected = await write_records(disk)
    segments = LogSegments(disk)
    await segments.load()

    def fail(*_args):
        raise OSError(errno.ENOSPC, 'no space')

    with monkeypatch.context() as patch:
        patch.setattr(os, call, fail)
        failure = await segments.append([entry(4, 2)])
    assert failure.reason is reason
    retried = await segments.append([entry(4, 2)])
    if call == 'write':
        assert retried is None
        expected.append(entry(4, 2))
        assert await LogSegments(disk).load() == expected
    else:
        assert retried.reason is FailureReason.STORAGE_FAILED


def test_scan_ignores_marker_in_payload():
    """Guards against an incomplete record that is reported as damage.

    Bytes of a payload that equal the record marker must not be taken for the
    start of another record.
    """
    document = pack_record(b'BGWR') + pack_record(b'a')
    scan = scan_records(document[:-1])
    assert scan.payloads == (b'BGWR',)
    assert not scan.damaged
