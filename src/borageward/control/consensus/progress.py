"""Replication progress of the other replicas, as the leader tracks it."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from borageward.clock import Milliseconds
from borageward.control.consensus.majorities import (
    VoterSets,
    majority_value,
)


@attrs.define(slots=True)
class PeerProgress:
    """Replication progress of one replica in the leader's term.

    ``next_index`` is the next entry to send, ``match_index`` the last entry
    known to be synced. ``answered_round`` and ``answered_sent_ms`` are the
    confirmation round and the send time of the newest request that the
    replica has answered. ``answered_commit_index`` was the commit index when
    the newest request with entries was sent that it has accepted.
    ``storage_id`` is empty before the first answer.
    """

    next_index: int
    answered_sent_ms: Milliseconds
    match_index: int = 0
    answered_round: int = 0
    answered_commit_index: int = 0
    storage_id: bytes = b''

    @property
    def has_answered(self) -> bool:
        """Return whether the replica has answered in this term."""
        return bool(self.storage_id)

    @property
    def is_caught_up(self) -> bool:
        """Return whether the replica is behind by one request at most.

        The commit index of the moment is no measure: under load, it advances
        while each answer is under way.
        """
        if not self.answered_commit_index:
            return False
        return self.match_index >= self.answered_commit_index


class ProgressTable:
    """Progress of the other replicas, and what a majority has reached."""

    def __init__(self, own_id: str) -> None:
        """Create an empty table for the leader with an id."""
        self._own_id = own_id
        self._peers: dict[str, PeerProgress] = {}

    def get_or_create(
        self,
        voter_id: str,
        next_index: int,
        now_ms: Milliseconds,
    ) -> PeerProgress:
        """Return the progress of a replica, creating it when missing.

        ``next_index`` and ``now_ms`` are the initial next index and the
        initial time of the last answer.
        """
        progress = self._peers.get(voter_id)
        if progress is None:
            progress = PeerProgress(next_index, now_ms)
            self._peers[voter_id] = progress
        return progress

    def remove(self, voter_ids: Iterable[str]) -> None:
        """Drop the progress of removed replicas."""
        for voter_id in voter_ids:
            self._peers.pop(voter_id, None)

    def find(self, voter_id: str) -> PeerProgress | None:
        """Return the progress of a replica, or ``None`` when unknown."""
        return self._peers.get(voter_id)

    def match_index(self, sets: VoterSets, own_index: int) -> int:
        """Return the highest index that a majority of each set has synced."""
        reached = {
            voter: progress.match_index
            for voter, progress in self._peers.items()
        }
        reached[self._own_id] = own_index
        return majority_value(sets, reached, 0)

    def confirmed_round(self, sets: VoterSets, own_round: int) -> int:
        """Return the newest confirmation round that majorities answered."""
        reached = {
            voter: progress.answered_round
            for voter, progress in self._peers.items()
        }
        reached[self._own_id] = own_round
        return majority_value(sets, reached, 0)

    def confirmed_ms(
        self,
        sets: VoterSets,
        now_ms: Milliseconds,
    ) -> Milliseconds:
        """Return the latest time in ms at which a majority still followed.

        A majority has answered requests that were sent then or later.
        """
        reached = {
            voter: progress.answered_sent_ms
            for voter, progress in self._peers.items()
        }
        reached[self._own_id] = now_ms
        return majority_value(sets, reached, float('-inf'))

    def storage_ids(self) -> dict[str, bytes]:
        """Return the storage ids, by voter id, of all that have answered."""
        return {
            voter: progress.storage_id
            for voter, progress in self._peers.items()
            if progress.storage_id
        }
