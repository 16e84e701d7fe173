"""Snapshots of the state, and their parts on the wire."""

from __future__ import annotations

import msgspec

from borageward.control.consensus.log import ReplicatedLog
from borageward.control.state import StateMachine
from borageward.control.storage import SnapshotDocument
from borageward.failures import Failure, FailureReason
from borageward.messages.consensus import InstallSnapshot

PART_BYTES = 1_048_576


def snapshot_of(
    machine: StateMachine,
    log: ReplicatedLog,
) -> SnapshotDocument:
    """Return a snapshot of the applied entries."""
    index = machine.applied_index
    return SnapshotDocument(
        index,
        log.term_at(index) or 0,
        machine.wall_ms,
        log.replicas_at(index),
        machine.encode(),
    )


class SnapshotAssembly:
    """Parts of a leader's snapshot until the last one has arrived."""

    def __init__(self) -> None:
        """Start without parts."""
        self._term = 0
        self._last_index = 0
        self._document = bytearray()

    def add(self, request: InstallSnapshot) -> bool:
        """Add a part; false when an earlier part is missing."""
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

    def take(self) -> SnapshotDocument | Failure:
        """Return the snapshot after its last part."""
        document = bytes(self._document)
        self._document.clear()
        try:
            return msgspec.msgpack.decode(document, type=SnapshotDocument)
        except msgspec.DecodeError as error:
            return Failure(FailureReason.MALFORMED_MESSAGE, str(error))
