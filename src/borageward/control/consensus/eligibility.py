"""Which replicas may vote, depending on their logs and their disks.

A vote belongs to one disk: a replica whose disk was replaced has forgotten the
votes that it gave, so it must not vote under the same voter id again.
"""

from __future__ import annotations

from borageward.control.consensus.majorities import has_vote
from borageward.control.consensus.replicas import find_replica
from borageward.control.storage import Identity
from borageward.messages.consensus import SetReplicas


def may_stand(
    current: SetReplicas,
    committed: SetReplicas,
    identity: Identity,
) -> bool:
    """Return whether a replica may stand for election.

    ``current`` is the newest replica set in its log, ``committed`` the newest
    one that it knows to be committed. A voter whose removal is not committed
    may hold the only log that contains it. The other voters then can't win
    without its vote, which it grants to no older log, so it has to stand.
    """
    return _has_usable_vote(current, identity) or _has_usable_vote(
        committed,
        identity,
    )


def may_grant_vote(
    current: SetReplicas,
    identity: Identity,
    counted_storage_id: bytes,
) -> bool:
    """Return whether a replica may grant its vote to a candidate.

    ``counted_storage_id`` is the storage id of this replica in the candidate's
    log. A replica that has not received its promotion yet is a learner by its
    own log. It may grant its vote nevertheless: the candidate may need it, and
    its log names the disk of the replica.
    """
    if _has_usable_vote(current, identity):
        return True
    if not counted_storage_id:
        return False
    return counted_storage_id == identity.storage_id


def _has_usable_vote(replicas: SetReplicas, identity: Identity) -> bool:
    own = find_replica(replicas.replicas, identity.voter_id)
    if own is None or not has_vote(replicas, identity.voter_id):
        return False
    if own.storage_id:
        return own.storage_id == identity.storage_id
    return identity.admitted
