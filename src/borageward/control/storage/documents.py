"""Files of a replica that are replaced as a whole.

They hold the identity, the vote and the snapshot.
"""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from borageward.control.storage.disk import Disk
from borageward.control.storage.errors import storage_failed
from borageward.control.storage.records import pack_record, scan_records
from borageward.failures import Failure
from borageward.messages.consensus import Replica, SetReplicas

_IDENTITY = 'identity'
_VOTE = 'vote'
_SNAPSHOT = 'snapshot'

DocumentT = TypeVar('DocumentT')


class Identity(msgspec.Struct, frozen=True, array_like=True):
    """Voter id of a replica, bound to the disk that stores this file.

    ``storage_id`` identifies the disk. ``learner`` is set if the replica
    joined a running cluster. ``admitted`` is set once every other initial
    voter has recorded this disk as the first one used with the voter id.
    ``known`` maps the ids of the other initial voters to the storage ids of
    their disks. ``initial`` lists the replicas that the cluster started with.
    """

    voter_id: str
    storage_id: bytes
    learner: bool
    admitted: bool
    known: dict[str, bytes]
    initial: tuple[Replica, ...] = ()


class Vote(msgspec.Struct, frozen=True, array_like=True):
    """Newest term that the replica has seen, and its vote in that term.

    ``candidate`` is empty if the replica has not voted in the term.
    """

    term: int = 0
    candidate: str = ''


class SnapshotDocument(msgspec.Struct, frozen=True, array_like=True):
    """Snapshot of the replicated state at a log position.

    ``term`` belongs to the entry at position ``index``. ``wall_ms`` is the
    wall time of the state. ``replicas`` is the replica set at the position.
    """

    index: int
    term: int
    wall_ms: int
    replicas: SetReplicas
    state: bytes


class ReplicaFiles:
    """Reads and writes the identity, vote and snapshot of a replica.

    Each file holds one record with a checksum. The methods return
    ``STORAGE_FAILED`` for a file that is damaged, and any failure of the disk.
    """

    def __init__(self, disk: Disk) -> None:
        """Use the files on a disk."""
        self._disk = disk

    async def is_empty(self) -> bool | Failure:
        """Return whether the disk holds no files."""
        names = await self._disk.names()
        return names if isinstance(names, Failure) else not names

    async def read_identity(self) -> Identity | Failure | None:
        """Return the identity, or ``None`` on an empty disk."""
        return await self._read(_IDENTITY, Identity)

    async def write_identity(self, identity: Identity) -> Failure | None:
        """Store the identity in place of the previous one."""
        return await self._write(_IDENTITY, identity)

    async def read_vote(self) -> Vote | Failure | None:
        """Return the vote, or ``None`` if none was stored."""
        return await self._read(_VOTE, Vote)

    async def write_vote(self, vote: Vote) -> Failure | None:
        """Store the vote in place of the previous one."""
        return await self._write(_VOTE, vote)

    async def read_snapshot(self) -> SnapshotDocument | Failure | None:
        """Return the snapshot, or ``None`` if none was stored."""
        return await self._read(_SNAPSHOT, SnapshotDocument)

    async def write_snapshot(
        self,
        snapshot: SnapshotDocument,
    ) -> Failure | None:
        """Store the snapshot in place of the previous one."""
        return await self._write(_SNAPSHOT, snapshot)

    async def _read(
        self,
        name: str,
        kind: type[DocumentT],
    ) -> DocumentT | Failure | None:
        document = await self._disk.read(name)
        if isinstance(document, Failure):
            return document
        if not document:
            return None
        scan = scan_records(document)
        if len(scan.payloads) != 1 or scan.valid_bytes != len(document):
            return storage_failed(f'file {name} is not one valid record')
        try:
            return msgspec.msgpack.decode(scan.payloads[0], type=kind)
        except msgspec.DecodeError as error:
            return storage_failed(f'file {name} cannot be decoded: {error}')

    async def _write(self, name: str, document: Any) -> Failure | None:
        record = pack_record(msgspec.msgpack.encode(document))
        return await self._disk.replace(name, record)
