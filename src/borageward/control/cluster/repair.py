"""Replacement of lost voters by learners that have caught up."""

from __future__ import annotations

from collections.abc import Iterable

from borageward.clock import Clock
from borageward.control.cluster.options import ClusterOptions
from borageward.control.cluster.repairplan import (
    RepairPlan,
    RepairStep,
    ReplicaHealth,
)
from borageward.control.consensus import Node, VoterExchange, voter_ids
from borageward.failures import Failure
from borageward.messages.consensus import Replica
from borageward.messages.control import AddLearner
from borageward.messages.discovery import Joined, JoinCluster
from borageward.telemetry import EventLog

_REPAIR_INTERVAL_MS = 200.0
_DONE = 'done'


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
        # Step that was tried last, and its outcome. A step that fails is tried
        # again with each check, and logged once.
        self._tried: tuple[RepairStep, str] | None = None

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
            self._tried = None
            return
        if self._tried is None or self._tried[0] != step:
            self._log_start(plan, step)
        reply = await self._node.change_replicas(step.request)
        tried = (step, reply.detail if isinstance(reply, Failure) else _DONE)
        if tried != self._tried:
            self._log_outcome(*tried)
        self._tried = tried

    def _log_start(self, plan: RepairPlan, step: RepairStep) -> None:
        if not isinstance(step.request, VoterExchange):
            return
        removed, added = step.request.removed, step.request.added
        self._log.event(
            'voter_exchange_started',
            removed=_listed(removed),
            added=_listed(added),
            cause=step.cause.value,
            removed_silence_ms=_silences(plan, removed),
            added_silence_ms=_silences(plan, added),
            voters=_listed(voter_ids(self._node.log.replicas)),
            losses=plan.survivable_losses,
            losses_after=plan.survivable_losses_after(step.request),
        )

    def _log_outcome(self, step: RepairStep, outcome: str) -> None:
        request = step.request
        if not isinstance(request, VoterExchange):
            self._log.event(
                'replica_removed',
                replica=request.voter_id,
                cause=step.cause.value,
                outcome=outcome,
            )
            return
        self._log.event(
            'voter_removed' if request.removed else 'voter_promoted',
            replica=_listed(request.removed or request.added),
            cause=step.cause.value,
            successor=_listed(request.added),
            voters=_listed(voter_ids(self._node.log.replicas)),
            outcome=outcome,
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
            superseded=_listed(rep.voter_id for rep in plan.superseded),
        )

    def _plan(self) -> RepairPlan:
        replicas = self._node.log.replicas
        health = {}
        for replica in replicas.replicas:
            known = self._health(replica)
            if known is not None:
                health[replica.voter_id] = known
        return RepairPlan(replicas, health, self._options.voter_count)

    def _health(self, replica: Replica) -> ReplicaHealth | None:
        if replica == self._node.leader:
            return ReplicaHealth(0, has_answered=True, is_caught_up=True)
        progress = self._node.progress_of(replica.voter_id)
        if progress is None:
            return None
        return ReplicaHealth(
            self._clock.now_ms() - progress.answered_sent_ms,
            progress.has_answered,
            progress.is_caught_up,
        )


def _listed(voter_ids: Iterable[str]) -> str:
    return ','.join(voter_ids) or '-'


def _silences(plan: RepairPlan, voter_ids: Iterable[str]) -> str:
    return _listed(f'{plan.silence_ms(item):.0f}' for item in voter_ids)
