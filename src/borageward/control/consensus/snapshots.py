"""Creation of snapshots, and their assembly from parts of the leader."""

from __future__ import annotations

import msgspec

from borageward.control.consensus.log import ReplicatedLog
from borageward.control.state import StateMachine
from borageward.control.storage import SnapshotDocument
from borageward.failures import Failure, FailureReason
from borageward.messages.consensus import InstallSnapshot

SNAPSHOT_PART_BYTES = 1_048_576


def create_snapshot(
    machine: StateMachine,
    log: ReplicatedLog,
) -> SnapshotDocument:
    """Return a snapshot of the state after the last applied entry."""
    index = machine.applied_index
    return SnapshotDocument(
        index,
        log.term_at(index) or 0,
        machine.wall_ms,
        log.replicas_at(index),
        machine.encode(),
    )


class SnapshotAssembly:
    """Collects the parts of a snapshot that the leader sends."""

    def __init__(self) -> None:
        """Start without parts."""
        self._term = 0
        self._last_index = 0
        self._document = bytearray()

    def add(self, request: InstallSnapshot) -> bool:
        """Add a part; the part with offset 0 starts a new snapshot.

        Returns false when an earlier part is missing or the part belongs to
        another snapshot.
        """
        if request.offset == 0:
            self._term = request.term
            self._last_index = request.last_index
            self._document.clear()
        if request.offset != len(self._document):
            return False
        if request.term != self._term or request.last_index != self._last_index:
            return False
        self._document += request.part
        return True

    def finish(self) -> SnapshotDocument | Failure:
        """Return the snapshot and drop its parts.

        Returns ``MALFORMED_MESSAGE`` when the parts cannot be decoded.
        """
        document = bytes(self._document)
        self._document.clear()
        try:
            return msgspec.msgpack.decode(document, type=SnapshotDocument)
        except msgspec.DecodeError as error:
            return Failure(FailureReason.MALFORMED_MESSAGE, str(error))
