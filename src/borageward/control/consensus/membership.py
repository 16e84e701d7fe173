"""Changes of the replica set, one replica at a time."""

from __future__ import annotations

from borageward.control.consensus.applier import Applier
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
from borageward.messages.consensus import SetReplicas
from borageward.messages.control import (
    AddLearner,
    Done,
    PromoteVoter,
    RemoveVoter,
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

    async def run(
        self,
        request: AddLearner | PromoteVoter | RemoveVoter,
    ) -> Done | Failure:
        """Return once the change is committed by the new replica set.

        Returns ``VOTER_CHANGE_PENDING`` when an earlier change is not
        committed, the storage id of an initial voter is not in the log or the
        learner to promote has not caught up; ``INVALID_REQUEST`` when the
        change is not possible; ``NO_QUORUM`` when leadership is lost.
        """
        if self._applier.commit_index < self._log.replicas_index:
            return _pending('an earlier change of the replicas is uncommitted')
        if isinstance(request, PromoteVoter) and self._has_unbound_voter():
            return _pending('not every initial voter has replied yet')
        changed = self._changed_replicas(request)
        if changed is None:
            return Done()
        if isinstance(changed, Failure):
            return changed
        reply = await self._leadership.propose(changed)
        return reply if isinstance(reply, Failure) else Done()

    def _has_unbound_voter(self) -> bool:
        """Return whether the storage id of a voter is not in the log yet."""
        replicas = self._log.replicas.replicas
        return any(rep.voter and not rep.storage_id for rep in replicas)

    def _changed_replicas(
        self,
        request: AddLearner | PromoteVoter | RemoveVoter,
    ) -> SetReplicas | Failure | None:
        current = self._log.replicas
        if isinstance(request, AddLearner):
            return add_learner(current, request)
        if isinstance(request, RemoveVoter):
            return remove_voter(current, request)
        return self._promoted_replicas(current, request)

    def _promoted_replicas(
        self,
        current: SetReplicas,
        request: PromoteVoter,
    ) -> SetReplicas | Failure | None:
        replica = find_replica(current.replicas, request.voter_id)
        if replica is None or replica.voter:
            return promote_voter(current, request, b'')
        progress = self._leadership.progress.find(request.voter_id)
        reached = 0 if progress is None else progress.match_index
        needed = self._applier.commit_index
        if progress is None or reached < needed:
            return _pending(
                f'{request.voter_id} has not caught up: '
                f'it has {reached} of {needed} entries',
            )
        return promote_voter(current, request, progress.storage_id)


def _pending(detail: str) -> Failure:
    return Failure(FailureReason.VOTER_CHANGE_PENDING, detail)
