"""What a leader knows of each replica in its term."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from borageward.clock import Milliseconds
from borageward.control.consensus.replicas import majority_value


@attrs.define(slots=True)
class PeerProgress:
    """Progress of one replica.

    ``round`` and ``sent_ms`` belong to the newest request that the replica
    has answered in this term; ``sent_ms`` is when that request was sent.
    """

    next_index: int
    sent_ms: Milliseconds
    match_index: int = 0
    round: int = 0
    storage_id: bytes = b''


class ProgressTable:
    """Progress of all replicas, and what a majority has reached."""

    def __init__(self, own_id: str) -> None:
        """Start without peers; the own replica needs no progress."""
        self._own_id = own_id
        self._peers: dict[str, PeerProgress] = {}

    def peer(
        self,
        voter_id: str,
        next_index: int,
        now_ms: Milliseconds,
    ) -> PeerProgress:
        """Return the progress of a replica, created when missing."""
        progress = self._peers.get(voter_id)
        if progress is None:
            progress = PeerProgress(next_index, now_ms)
            self._peers[voter_id] = progress
        return progress

    def forget(self, voter_ids: Iterable[str]) -> None:
        """Drop the progress of removed replicas."""
        for voter_id in voter_ids:
            self._peers.pop(voter_id, None)

    def find(self, voter_id: str) -> PeerProgress | None:
        """Return the progress of a replica, or nothing."""
        return self._peers.get(voter_id)

    def match_index(self, voters: tuple[str, ...], own_index: int) -> int:
        """Return the last position that a majority has synced."""
        reached = {
            voter: progress.match_index
            for voter, progress in self._peers.items()
        }
        reached[self._own_id] = own_index
        return majority_value(voters, reached, 0)

    def confirmed_round(self, voters: tuple[str, ...], own_round: int) -> int:
        """Return the newest round that a majority has answered."""
        reached = {
            voter: progress.round for voter, progress in self._peers.items()
        }
        reached[self._own_id] = own_round
        return majority_value(voters, reached, 0)

    def confirmed_ms(
        self,
        voters: tuple[str, ...],
        now_ms: Milliseconds,
    ) -> Milliseconds:
        """Return when a majority was last known to follow."""
        reached = {
            voter: progress.sent_ms for voter, progress in self._peers.items()
        }
        reached[self._own_id] = now_ms
        return majority_value(voters, reached, float('-inf'))

    def storage_ids(self) -> dict[str, bytes]:
        """Return the disks that the replicas answered with."""
        return {
            voter: progress.storage_id
            for voter, progress in self._peers.items()
            if progress.storage_id
        }
