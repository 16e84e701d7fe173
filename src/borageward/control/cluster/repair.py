"""Replacement of lost voters by learners that have caught up."""

from __future__ import annotations

from borageward.clock import Clock, Milliseconds
from borageward.control.cluster.options import ClusterOptions
from borageward.control.consensus import Node
from borageward.failures import Failure
from borageward.messages.consensus import Replica
from borageward.messages.control import (
    AddLearner,
    PromoteVoter,
    RemoveVoter,
)
from borageward.messages.discovery import Joined, JoinCluster
from borageward.telemetry import EventLog

_REPAIR_INTERVAL_MS = 200.0
# A voter that has not answered for this time may be replaced by a learner. A
# suspended or partitioned voter that returns later joins again as a learner.
_REPLACE_AFTER_MS = 2500.0
# A learner that has not answered for this time takes no voter's place. Requests
# are repeated every 120 ms.
_LEARNER_SILENCE_MS = 500.0


class VoterRepair:
    """Keeps the number of voters that tolerates the configured losses.

    A voter is removed before its successor is promoted, so that no majority
    counts both a lost disk and the disk that replaces it.
    """

    def __init__(
        self,
        options: ClusterOptions,
        node: Node,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Create a repair that acts while this replica leads."""
        self._options = options
        self._node = node
        self._clock = clock
        self._log = log

    async def add_replica(self, request: JoinCluster) -> Joined | Failure:
        """Add a replica as a learner, or report that its id was retired.

        Returns a failure when this replica does not lead or cannot commit the
        change.
        """
        if self._node.is_retired(request.voter_id):
            leadership_failure = await self._node.confirm_leadership()
            return leadership_failure or Joined(retired=True)
        reply = await self._node.change_replicas(
            AddLearner(
                request.voter_id,
                request.operator_address,
                request.address,
            ),
        )
        if isinstance(reply, Failure):
            return reply
        self._log.event('replica_joined', replica=request.voter_id)
        return Joined(retired=False)

    async def run(self) -> None:
        """Check the voters periodically while leading, until cancelled."""
        while True:
            await self._clock.sleep_ms(_REPAIR_INTERVAL_MS)
            if self._node.leader_term:
                await self._repair()

    async def _repair(self) -> None:
        """Make at most one change to the set of replicas."""
        replicas = self._node.log.replicas.replicas
        learners = [replica for replica in replicas if not replica.voter]
        voters = [replica for replica in replicas if replica.voter]
        superseded = self._find_superseded(learners)
        if superseded is not None:
            await self._remove_replica(superseded, 'superseded')
            return
        ready = [learner for learner in learners if self._is_ready(learner)]
        if not ready:
            return
        if len(voters) < self._options.voter_count:
            await self._promote_learner(ready[0])
            return
        lost = self._find_lost(voters)
        if lost is not None:
            await self._remove_replica(lost, 'silent')

    def _find_superseded(self, learners: list[Replica]) -> Replica | None:
        """Return a replica whose address now belongs to a newer learner.

        Such a replica has lost its disk and joined again under a new id.
        """
        successor_ids = {
            learner.member_address: learner.voter_id
            for learner in learners
            if self._is_caught_up(learner)
        }
        for replica in self._node.log.replicas.replicas:
            successor_id = successor_ids.get(
                replica.member_address,
                replica.voter_id,
            )
            if successor_id != replica.voter_id:
                return replica
        return None

    def _find_lost(self, voters: list[Replica]) -> Replica | None:
        for voter in voters:
            if self._silence_ms(voter) > _REPLACE_AFTER_MS:
                return voter
        return None

    def _silence_ms(self, replica: Replica) -> Milliseconds:
        silence_ms = self._node.silence_ms(replica.voter_id)
        return 0 if silence_ms is None else silence_ms

    def _is_ready(self, learner: Replica) -> bool:
        """Return whether a learner can take the place of a voter at once.

        One that is silent as well would leave too few voters to survive the
        loss of another disk.
        """
        is_silent = self._silence_ms(learner) > _LEARNER_SILENCE_MS
        return self._is_caught_up(learner) and not is_silent

    def _is_caught_up(self, replica: Replica) -> bool:
        return self._node.is_caught_up(replica.voter_id)

    async def _remove_replica(self, replica: Replica, cause: str) -> None:
        reply = await self._node.change_replicas(RemoveVoter(replica.voter_id))
        self._log_outcome('voter_removed', replica, cause, reply)

    async def _promote_learner(self, replica: Replica) -> None:
        reply = await self._node.change_replicas(
            PromoteVoter(replica.voter_id),
        )
        self._log_outcome('voter_promoted', replica, 'caught_up', reply)

    def _log_outcome(
        self,
        event_name: str,
        replica: Replica,
        cause: str,
        reply: object,
    ) -> None:
        outcome = 'done'
        if isinstance(reply, Failure):
            outcome = reply.detail
        self._log.event(
            event_name,
            replica=replica.voter_id,
            cause=cause,
            outcome=outcome,
        )
