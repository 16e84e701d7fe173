"""Durable storage of one control replica: log, vote, identity, snapshot."""

from __future__ import annotations

from borageward.control.storage.disk import Disk, FileDisk
from borageward.control.storage.documents import (
    Identity,
    ReplicaFiles,
    SnapshotDocument,
    Vote,
)
from borageward.control.storage.errors import StorageError
from borageward.control.storage.segments import LogSegments

__all__ = (
    'Disk',
    'FileDisk',
    'Identity',
    'LogSegments',
    'ReplicaFiles',
    'SnapshotDocument',
    'StorageError',
    'Vote',
)
