"""Permitted changes of a replica set."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from borageward.control.consensus.majorities import voter_ids
from borageward.failures import Failure, FailureReason
from borageward.messages.consensus import Replica, SetReplicas
from borageward.messages.control import AddLearner, PromoteVoter, RemoveVoter
from borageward.settings import ControlAddress


def find_replica(
    replicas: Iterable[Replica],
    voter_id: str,
) -> Replica | None:
    """Return the replica with a voter id, or ``None``."""
    for replica in replicas:
        if replica.voter_id == voter_id:
            return replica
    return None


def add_learner(
    current: SetReplicas,
    request: AddLearner,
) -> SetReplicas | Failure | None:
    """Return the replica set with a learner added.

    Returns ``None`` when the replica is in the set already, and
    ``INVALID_REQUEST`` when its id is retired or in use with another address.
    """
    added = Replica(
        request.voter_id,
        request.address,
        request.member_address,
        voter=False,
    )
    known = find_replica(current.replicas, request.voter_id)
    if known is not None:
        if _address_of(known) == _address_of(added):
            return None
        return invalid_change(
            f'{request.voter_id} is a replica with another address'
        )
    if request.voter_id in current.retired:
        return invalid_change(
            f'{request.voter_id} was removed; use a new voter id'
        )
    return SetReplicas((*current.replicas, added), current.retired)


def promote_voter(
    current: SetReplicas,
    request: PromoteVoter,
    storage_id: bytes,
) -> SetReplicas | Failure | None:
    """Return the replica set with a learner promoted to voter.

    Returns ``None`` when the replica is a voter already, and
    ``INVALID_REQUEST`` when it is not in the set.
    """
    known = find_replica(current.replicas, request.voter_id)
    if known is None:
        return invalid_change(f'{request.voter_id} is not in the replica set')
    if known.voter:
        return None
    promoted = Replica(
        known.voter_id,
        known.address,
        known.member_address,
        voter=True,
        storage_id=storage_id,
    )
    return _replaced(current, promoted)


def remove_voter(
    current: SetReplicas,
    request: RemoveVoter,
) -> SetReplicas | Failure | None:
    """Return the replica set without a replica, whose id is retired.

    Returns ``None`` when the replica was removed before, and
    ``INVALID_REQUEST`` when it is not in the set or is the last voter.
    """
    if request.voter_id in current.retired:
        return None
    if find_replica(current.replicas, request.voter_id) is None:
        return invalid_change(f'{request.voter_id} is not in the replica set')
    if voter_ids(current) == (request.voter_id,):
        return invalid_change('the last voter cannot be removed')
    kept = tuple(
        rep for rep in current.replicas if rep.voter_id != request.voter_id
    )
    return SetReplicas(kept, (*current.retired, request.voter_id))


def bind_storage(
    current: SetReplicas,
    storage: Mapping[str, bytes],
) -> SetReplicas | None:
    """Return the replica set with each storage id of a voter that is known.

    Returns ``None`` when none is new. A voter whose disk was lost before it
    was known stays without one until it is replaced.
    """
    unbound = [
        rep
        for rep in current.replicas
        if rep.voter and not rep.storage_id and rep.voter_id in storage
    ]
    if not unbound:
        return None
    for rep in unbound:
        bound = Replica(
            rep.voter_id,
            rep.address,
            rep.member_address,
            voter=True,
            storage_id=storage[rep.voter_id],
        )
        current = _replaced(current, bound)
    return current


def _address_of(replica: Replica) -> ControlAddress:
    return ControlAddress(replica.address, replica.member_address)


def _replaced(current: SetReplicas, changed: Replica) -> SetReplicas:
    replicas = tuple(
        changed if rep.voter_id == changed.voter_id else rep
        for rep in current.replicas
    )
    return SetReplicas(replicas, current.retired)


def invalid_change(detail: str) -> Failure:
    """Return the failure of a change that is not possible."""
    return Failure(FailureReason.INVALID_REQUEST, detail)
