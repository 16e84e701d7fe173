"""Replacement of lost voters by learners that have caught up."""

from __future__ import annotations

from collections.abc import Iterable

from borageward.clock import Clock
from borageward.control.cluster.options import ClusterOptions
from borageward.control.cluster.repairplan import (
    RepairCause,
    RepairPlan,
    ReplicaHealth,
)
from borageward.control.consensus import Node, VoterExchange, voter_ids
from borageward.failures import Failure
from borageward.messages.consensus import Replica
from borageward.messages.control import AddLearner, Done
from borageward.messages.discovery import Joined, JoinCluster
from borageward.telemetry import EventLog

_REPAIR_INTERVAL_MS = 200.0


class VoterRepair:
    """Keeps the number of voters that tolerates the configured losses."""

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
        # Term and number of survivable losses that were logged last.
        self._reported = (0, 0)

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
            # The removal may have been committed during the call.
            retired = self._node.is_retired(request.voter_id)
            return Joined(retired=True) if retired else reply
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
        plan = self._plan()
        self._report(plan)
        step = plan.next_step()
        if step is None:
            return
        if isinstance(step.request, VoterExchange):
            await self._exchange(plan, step.request, step.cause)
            return
        reply = await self._node.change_replicas(step.request)
        self._log.event(
            'replica_removed',
            replica=step.request.voter_id,
            cause=step.cause.value,
            outcome=_outcome(reply),
        )

    async def _exchange(
        self,
        plan: RepairPlan,
        exchange: VoterExchange,
        cause: RepairCause,
    ) -> None:
        removed, added = exchange.removed, exchange.added
        self._log.event(
            'voter_exchange_started',
            removed=_listed(removed),
            added=_listed(added),
            cause=cause.value,
            removed_silence_ms=_silences(plan, removed),
            added_silence_ms=_silences(plan, added),
            voters=_listed(voter_ids(self._node.log.replicas)),
            losses=plan.survivable_losses,
            losses_after=plan.survivable_losses_after(exchange),
        )
        reply = await self._node.change_replicas(exchange)
        self._log.event(
            'voter_removed' if removed else 'voter_promoted',
            replica=_listed(removed or added),
            cause=cause.value,
            successor=_listed(added),
            voters=_listed(voter_ids(self._node.log.replicas)),
            outcome=_outcome(reply),
        )

    def _report(self, plan: RepairPlan) -> None:
        """Log how many lost disks the voters survive, whenever it changes."""
        state = (self._node.leader_term, plan.survivable_losses)
        if state == self._reported:
            return
        self._reported = state
        self._log.event(
            'survivable_losses',
            losses=plan.survivable_losses,
            tolerated=self._options.losses,
            voters=_listed(voter_ids(self._node.log.replicas)),
            superseded=_ids(plan.superseded),
        )

    def _plan(self) -> RepairPlan:
        replicas = self._node.log.replicas
        health = {}
        for replica in replicas.replicas:
            known = self._health(replica.voter_id)
            if known is not None:
                health[replica.voter_id] = known
        return RepairPlan(replicas, health, self._options.voter_count)

    def _health(self, voter_id: str) -> ReplicaHealth | None:
        progress = self._node.progress_of(voter_id)
        if progress is None:
            return None
        return ReplicaHealth(
            self._clock.now_ms() - progress.answered_sent_ms,
            progress.has_answered,
            progress.is_caught_up,
        )


def _listed(voter_ids: Iterable[str]) -> str:
    return ','.join(voter_ids) or '-'


def _ids(replicas: Iterable[Replica]) -> str:
    return _listed(replica.voter_id for replica in replicas)


def _silences(plan: RepairPlan, voter_ids: Iterable[str]) -> str:
    return _listed(f'{plan.silence_ms(item):.0f}' for item in voter_ids)


def _outcome(reply: Done | Failure) -> str:
    return reply.detail if isinstance(reply, Failure) else 'done'
