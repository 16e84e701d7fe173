"""Files of a replica that are replaced as a whole.

They hold the identity, the vote and the snapshot.
"""

from __future__ import annotations

import secrets
from typing import Any, TypeVar

import msgspec

from borageward.control.storage.disk import Disk
from borageward.control.storage.errors import storage_failed
from borageward.control.storage.records import pack_record, scan_records
from borageward.failures import Failure
from borageward.messages.consensus import (
    Replica,
    SetJointReplicas,
    SetReplicas,
)

_IDENTITY = 'identity'
_VOTE = 'vote'
_SNAPSHOT = 'snapshot'
_STORAGE_ID_BYTES = 16

DocumentT = TypeVar('DocumentT')


class Identity(msgspec.Struct, frozen=True, array_like=True):
    """Voter id of a replica, bound to the disk that stores this file.

    ``storage_id`` identifies the disk. ``learner`` is set if the replica
    joined a running cluster. ``admitted`` is set once every other initial
    voter has recorded this disk as the first one used with the voter id.
    ``known`` maps the ids of the other initial voters to the storage ids of
    their disks. ``initial`` lists the replicas that the cluster started with.
    ``erasing`` is set until the files of the former voter id are removed.
    """

    voter_id: str
    storage_id: bytes
    learner: bool
    admitted: bool
    known: dict[str, bytes]
    initial: tuple[Replica, ...] = ()
    erasing: bool = False

    @classmethod
    def create(
        cls,
        voter_id: str,
        *,
        learner: bool,
        initial: tuple[Replica, ...] = (),
    ) -> Identity:
        """Return the identity of a disk that is new to the cluster."""
        storage_id = secrets.token_bytes(_STORAGE_ID_BYTES)
        return cls(
            voter_id,
            storage_id,
            learner,
            admitted=False,
            known={},
            initial=initial,
        )


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
    replicas: SetReplicas | SetJointReplicas
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

    async def replace_identity(self, identity: Identity) -> Failure | None:
        """Store a new identity and remove the files of the previous one.

        The new identity is stored before the first file is removed, so that
        the disk never holds the previous voter id without its votes and log.
        After a failure or a crash, call ``finish_replacement``.
        """
        erasing = msgspec.structs.replace(identity, erasing=True)
        failure = await self.write_identity(erasing)
        return failure or await self.finish_replacement(erasing)

    async def finish_replacement(self, identity: Identity) -> Failure | None:
        """Remove the files that an identity being replaced has left."""
        names = await self._disk.names()
        if isinstance(names, Failure):
            return names
        for name in names:
            if name != _IDENTITY:
                failure = await self._disk.remove(name)
                if failure is not None:
                    return failure
        erased = msgspec.structs.replace(identity, erasing=False)
        return await self.write_identity(erased)

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
