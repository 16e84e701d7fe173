"""Decision of the leader on the next change to the voters.

The decision depends only on the replica set and on what the leader knows about
each replica, so tests can drive it through all orders of events.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping

import attrs

from borageward.clock import Milliseconds
from borageward.control.consensus import VoterExchange, voter_ids, voter_sets
from borageward.messages.consensus import (
    Replica,
    SetJointReplicas,
    SetReplicas,
)
from borageward.messages.control import RemoveVoter

# A voter that has not answered for this time may be replaced by a learner. A
# suspended or partitioned voter that returns later joins again as a learner.
_REPLACE_AFTER_MS = 2500.0
# A learner that has not answered for this time takes no voter's place. Requests
# are repeated every 120 ms.
_LEARNER_SILENCE_MS = 500.0


class RepairCause(enum.Enum):
    """Why the replica set is changed."""

    # A newer replica answers at the address, so the disk was replaced.
    SUPERSEDED = 'superseded'
    SILENT = 'silent'
    TOO_FEW_VOTERS = 'too_few_voters'


@attrs.frozen(slots=True)
class ReplicaHealth:
    """What the leader knows about one replica in its term.

    ``silence_ms`` is the age of the newest request that the replica answered,
    or the time since replication to it began. ``has_answered`` tells whether
    it answered under its voter id at all, ``is_caught_up`` whether it holds
    all committed entries, but for those of the newest request.
    """

    silence_ms: Milliseconds
    has_answered: bool
    is_caught_up: bool


@attrs.frozen(slots=True)
class RepairStep:
    """A change to the replica set with its cause."""

    request: VoterExchange | RemoveVoter
    cause: RepairCause


class RepairPlan:
    """The next change for one state of the replicas, as the leader sees it.

    A lost voter is only ever exchanged for a learner that is ready, in one
    change. A voter that is merely silent still has its disk, so a smaller
    voter set would survive fewer lost disks than the former one.
    """

    def __init__(
        self,
        replicas: SetReplicas,
        health: Mapping[str, ReplicaHealth],
        voter_count: int,
    ) -> None:
        """Plan for a replica set that should have ``voter_count`` voters.

        ``health`` lacks replicas of which the leader knows nothing yet.
        """
        self._replicas = replicas
        self._health = health
        self._voter_count = voter_count

    @property
    def superseded(self) -> tuple[Replica, ...]:
        """Return the replicas whose address belongs to a newer replica.

        Their disks are lost: each id is bound to one disk, and the replica
        that answers at the address now has another id. A replica that joins is
        appended to the list, so the last one at an address is the newest.
        """
        newest = {
            replica.member_address: replica
            for replica in self._replicas.replicas
        }
        return tuple(
            replica
            for replica in self._replicas.replicas
            if self._is_superseded(replica, newest[replica.member_address])
        )

    @property
    def survivable_losses(self) -> int:
        """Return how many more disks may be lost without losing a majority.

        The disks of superseded voters count as lost. The result is negative
        when a voter set has lost its majority already.
        """
        lost = {replica.voter_id for replica in self.superseded}
        return min(
            _survivable_losses(set(voters), lost)
            for voters in voter_sets(self._replicas)
        )

    def survivable_losses_after(self, exchange: VoterExchange) -> int:
        """Return the survivable losses once an exchange is completed."""
        lost = {replica.voter_id for replica in self.superseded}
        voters = {*voter_ids(self._replicas), *exchange.added}
        voters -= set(exchange.removed)
        return _survivable_losses(voters, lost)

    def next_step(self) -> RepairStep | None:
        """Return the next change, or ``None`` when there is none to make.

        An exchange that is under way is completed by the leader itself.
        """
        if isinstance(self._replicas, SetJointReplicas):
            return None
        return (
            self._replace_voter(RepairCause.SUPERSEDED)
            or self._add_voters()
            or self._replace_voter(RepairCause.SILENT)
            or self._remove_superseded_learner()
        )

    def silence_ms(self, voter_id: str) -> Milliseconds:
        """Return for how long a replica has not answered, 0 if unknown."""
        health = self._health.get(voter_id)
        return 0 if health is None else health.silence_ms

    def _replace_voter(self, cause: RepairCause) -> RepairStep | None:
        if cause is RepairCause.SUPERSEDED:
            lost = [replica for replica in self.superseded if replica.voter]
        else:
            lost = self._find_silent_voters()
        ready = self._find_ready_learners()
        if not lost or not ready:
            return None
        exchange = VoterExchange((ready[0].voter_id,), (lost[0].voter_id,))
        return RepairStep(exchange, cause)

    def _add_voters(self) -> RepairStep | None:
        """Add voters up to an odd number.

        With an even number of voters one more disk is needed for a majority,
        and no more disks may be lost.
        """
        voters = [rep for rep in self._replicas.replicas if rep.voter]
        ready = self._find_ready_learners()
        count = min(self._voter_count - len(voters), len(ready))
        if (len(voters) + count) % 2 == 0:
            count -= 1
        if count <= 0:
            return None
        added = tuple(learner.voter_id for learner in ready[:count])
        return RepairStep(VoterExchange(added), RepairCause.TOO_FEW_VOTERS)

    def _remove_superseded_learner(self) -> RepairStep | None:
        for replica in self.superseded:
            if not replica.voter:
                request = RemoveVoter(replica.voter_id)
                return RepairStep(request, RepairCause.SUPERSEDED)
        return None

    def _find_silent_voters(self) -> list[Replica]:
        return [
            replica
            for replica in self._replicas.replicas
            if replica.voter
            and self.silence_ms(replica.voter_id) > _REPLACE_AFTER_MS
        ]

    def _find_ready_learners(self) -> list[Replica]:
        """Return the learners that can take the place of a voter at once.

        One that is silent as well is no better than the voter.
        """
        superseded = self.superseded
        return [
            replica
            for replica in self._replicas.replicas
            if not replica.voter
            and replica not in superseded
            and self._is_ready(replica)
        ]

    def _is_ready(self, learner: Replica) -> bool:
        health = self._health.get(learner.voter_id)
        if health is None or not health.is_caught_up:
            return False
        return health.silence_ms <= _LEARNER_SILENCE_MS

    def _is_superseded(self, replica: Replica, newest: Replica) -> bool:
        if newest.voter_id == replica.voter_id:
            return False
        health = self._health.get(newest.voter_id)
        return health is not None and health.has_answered


def _survivable_losses(voters: set[str], lost: set[str]) -> int:
    return (len(voters) - 1) // 2 - len(lost & voters)
