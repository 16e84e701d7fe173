"""Changes of the replica set, one change at a time."""

from __future__ import annotations

from typing import TypeAlias

from borageward.control.consensus.applier import Applier
from borageward.control.consensus.exchange import (
    VoterExchange,
    begin_exchange,
)
from borageward.control.consensus.leadership import Leadership
from borageward.control.consensus.log import ReplicatedLog
from borageward.control.consensus.options import NodeOptions
from borageward.control.consensus.replicas import (
    add_learner,
    find_replica,
    promote_voter,
    remove_voter,
)
from borageward.failures import Failure, FailureReason
from borageward.messages.consensus import SetJointReplicas, SetReplicas
from borageward.messages.control import (
    AddLearner,
    Done,
    PromoteVoter,
    RemoveVoter,
)

ReplicaRequest: TypeAlias = (
    AddLearner | PromoteVoter | RemoveVoter | VoterExchange
)


class ReplicaChange:
    """A change of the replica set, which the leader writes to the log."""

    def __init__(
        self,
        leadership: Leadership,
        log: ReplicatedLog,
        applier: Applier,
        options: NodeOptions,
    ) -> None:
        """Prepare a change in the term of the leadership."""
        self._leadership = leadership
        self._log = log
        self._applier = applier
        self._options = options

    async def run(self, request: ReplicaRequest) -> Done | Failure:
        """Return once the change is committed by the new replica set.

        Returns ``VOTER_CHANGE_PENDING`` when an earlier change is not
        committed, the storage id of an initial voter is not in the log or a
        learner to promote has not caught up; ``INVALID_REQUEST`` when the
        change is not possible; ``NO_QUORUM`` when leadership is lost.
        """
        pending = self._find_pending(request)
        if pending is not None:
            return pending
        changed = self._changed_replicas(request)
        if changed is None:
            return Done()
        if isinstance(changed, Failure):
            return changed
        reply = await self._leadership.propose(changed)
        if isinstance(reply, Failure):
            return reply
        return await self._leadership.wait_for_exchange() or Done()

    def _find_pending(self, request: ReplicaRequest) -> Failure | None:
        if self._applier.commit_index < self._log.replicas_index:
            return _pending('an earlier change of the replicas is uncommitted')
        if isinstance(self._log.replicas, SetJointReplicas):
            return _pending('an exchange of voters is not completed')
        if isinstance(request, PromoteVoter):
            return self._find_unbound(())
        if isinstance(request, VoterExchange):
            return self._find_unbound(request.removed)
        return None

    def _find_unbound(self, removed: tuple[str, ...]) -> Failure | None:
        """Return a failure if a voter that stays isn't bound to its disk.

        A new voter knows the disks of the others from the log only.
        """
        unbound = [
            rep.voter_id
            for rep in self._log.replicas.replicas
            if rep.voter and not rep.storage_id
        ]
        for voter_id in unbound:
            if voter_id not in removed:
                return _pending(f'{voter_id} has not replied yet')
        return None

    def _changed_replicas(
        self,
        request: ReplicaRequest,
    ) -> SetReplicas | Failure | None:
        current = self._log.replicas
        if isinstance(request, AddLearner):
            return add_learner(current, request)
        if isinstance(request, RemoveVoter):
            return remove_voter(current, request)
        if isinstance(request, PromoteVoter):
            return self._promoted_replicas(current, request)
        for voter_id in request.added:
            behind = self._find_behind(voter_id)
            if behind is not None:
                return behind
        storage_ids = self._leadership.progress.storage_ids()
        return begin_exchange(current, request, storage_ids)

    def _promoted_replicas(
        self,
        current: SetReplicas,
        request: PromoteVoter,
    ) -> SetReplicas | Failure | None:
        replica = find_replica(current.replicas, request.voter_id)
        if replica is None or replica.voter:
            return promote_voter(current, request, b'')
        behind = self._find_behind(request.voter_id)
        if behind is not None:
            return behind
        storage_ids = self._leadership.progress.storage_ids()
        return promote_voter(current, request, storage_ids[request.voter_id])

    def _find_behind(self, voter_id: str) -> Failure | None:
        """Return a failure unless a replica answers and has caught up."""
        progress = self._leadership.progress.find(voter_id)
        if progress is None or not progress.is_caught_up:
            reached = 0 if progress is None else progress.match_index
            needed = self._applier.commit_index
            return _pending(
                f'{voter_id} has not caught up: '
                f'it has {reached} of {needed} entries',
            )
        silence_ms = self._options.clock.now_ms() - progress.answered_sent_ms
        if silence_ms > self._options.election_timeout_ms:
            return _pending(f'{voter_id} is silent for {silence_ms:.0f} ms')
        return None


def _pending(detail: str) -> Failure:
    return Failure(FailureReason.VOTER_CHANGE_PENDING, detail)
