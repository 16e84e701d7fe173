"""Replaces lost voters by learners that have caught up."""

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

_INTERVAL_MS = 200.0
# A voter that was silent for this time may be replaced by a waiting learner.
# A frozen or cut-off voter that returns later joins again as a learner.
_REPLACE_AFTER_MS = 2500.0


class VoterRepair:
    """Keeps the number of voters at the count that survives the losses.

    A voter is removed before its successor is promoted, so that no majority
    counts a lost disk together with its successor.
    """

    def __init__(
        self,
        options: ClusterOptions,
        node: Node,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Prepare the repair for the times when this replica leads."""
        self._options = options
        self._node = node
        self._clock = clock
        self._log = log

    async def add(self, request: JoinCluster) -> Joined | Failure:
        """Add a learner, or tell that its id was retired."""
        if request.voter_id in self._node.log.replicas.retired:
            unconfirmed = await self._node.confirm_leadership()
            return unconfirmed or Joined(retired=True)
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
        """Repair while this replica leads, until cancelled."""
        while True:
            await self._clock.sleep_ms(_INTERVAL_MS)
            if self._node.leader_term:
                await self._repair()

    async def _repair(self) -> None:
        replicas = self._node.log.replicas.replicas
        learners = [rep for rep in replicas if not rep.voter]
        voters = [rep for rep in replicas if rep.voter]
        superseded = self._superseded(learners)
        if superseded is not None:
            await self._remove(superseded, 'superseded')
            return
        ready = [rep for rep in learners if self._is_caught_up(rep)]
        if not ready:
            return
        if len(voters) < self._options.voter_count:
            await self._promote(ready[0])
            return
        lost = self._lost(voters)
        if lost is not None:
            await self._remove(lost, 'silent')

    def _superseded(self, learners: list[Replica]) -> Replica | None:
        """Return a replica whose address a newer learner has taken over."""
        taken = {
            rep.member_address: rep.voter_id
            for rep in learners
            if self._is_caught_up(rep)
        }
        for replica in self._node.log.replicas.replicas:
            successor = taken.get(replica.member_address, replica.voter_id)
            if successor != replica.voter_id:
                return replica
        return None

    def _lost(self, voters: list[Replica]) -> Replica | None:
        for voter in voters:
            if self._silence_ms(voter) > _REPLACE_AFTER_MS:
                return voter
        return None

    def _silence_ms(self, replica: Replica) -> Milliseconds:
        silence_ms = self._node.silence_ms(replica.voter_id)
        return 0 if silence_ms is None else silence_ms

    def _is_caught_up(self, replica: Replica) -> bool:
        return self._node.is_caught_up(replica.voter_id)

    async def _remove(self, replica: Replica, cause: str) -> None:
        reply = await self._node.change_replicas(RemoveVoter(replica.voter_id))
        self._report('voter_removed', replica, cause, reply)

    async def _promote(self, replica: Replica) -> None:
        reply = await self._node.change_replicas(
            PromoteVoter(replica.voter_id),
        )
        self._report('voter_promoted', replica, 'caught_up', reply)

    def _report(
        self,
        name: str,
        replica: Replica,
        cause: str,
        reply: object,
    ) -> None:
        outcome = 'done'
        if isinstance(reply, Failure):
            outcome = reply.detail
        self._log.event(
            name,
            replica=replica.voter_id,
            cause=cause,
            outcome=outcome,
        )
