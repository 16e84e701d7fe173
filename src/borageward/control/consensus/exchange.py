"""Exchange of voters by joint consensus (Raft dissertation, section 4.3).

An exchange is one change with two log entries. The first one adds the new
voters, and from then on the former and the new voter set both have to agree.
The second one, appended by any leader once the first is committed, removes the
former voters. At no time does a smaller set decide, so that both sets keep
the number of lost disks that they survive.
"""

from __future__ import annotations

from collections.abc import Mapping

import attrs
import msgspec

from borageward.control.consensus.majorities import voter_ids
from borageward.control.consensus.replicas import (
    find_replica,
    invalid_change,
)
from borageward.failures import Failure
from borageward.messages.consensus import (
    Replica,
    SetJointReplicas,
    SetReplicas,
)


@attrs.frozen(slots=True)
class VoterExchange:
    """Request that learners become voters and voters leave.

    ``added`` and ``removed`` are voter ids.
    """

    added: tuple[str, ...]
    removed: tuple[str, ...] = ()


def begin_exchange(
    current: SetReplicas,
    request: VoterExchange,
    storage_ids: Mapping[str, bytes],
) -> SetJointReplicas | Failure:
    """Return the joint replica set that an exchange begins with.

    ``storage_ids`` binds the new voters to their disks. Returns
    ``INVALID_REQUEST`` when a replica to add is not a learner or one to remove
    is not a voter, and when no voter would be left.
    """
    voters = voter_ids(current)
    for voter_id in request.added:
        if voter_id in voters or not _is_listed(current, voter_id):
            return invalid_change(f'{voter_id} is not a learner')
    for voter_id in request.removed:
        if voter_id not in voters:
            return invalid_change(f'{voter_id} is not a voter')
    if set(voters) == set(request.removed) and not request.added:
        return invalid_change('no voter would be left')
    replicas = tuple(
        _exchanged(replica, request, storage_ids)
        for replica in current.replicas
    )
    return SetJointReplicas(replicas, current.retired, voters)


def complete_exchange(current: SetJointReplicas) -> SetReplicas:
    """Return the replica set that an exchange ends with.

    The former voters are removed and their ids are retired.
    """
    voters = voter_ids(current)
    removed = tuple(
        voter_id
        for voter_id in current.previous_voters
        if voter_id not in voters
    )
    kept = tuple(
        replica
        for replica in current.replicas
        if replica.voter_id not in removed
    )
    return SetReplicas(kept, (*current.retired, *removed))


def _exchanged(
    replica: Replica,
    request: VoterExchange,
    storage_ids: Mapping[str, bytes],
) -> Replica:
    voter_id = replica.voter_id
    if voter_id in request.removed:
        return msgspec.structs.replace(replica, voter=False)
    if voter_id in request.added:
        return msgspec.structs.replace(
            replica,
            voter=True,
            storage_id=storage_ids[voter_id],
        )
    return replica


def _is_listed(current: SetReplicas, voter_id: str) -> bool:
    return find_replica(current.replicas, voter_id) is not None
