"""Voter ids of replicas, each bound to one disk."""

from __future__ import annotations

import secrets

import attrs

from borageward.control.cluster.options import ClusterOptions
from borageward.control.storage import Disk, Identity, ReplicaFiles
from borageward.failures import Failure
from borageward.messages.consensus import Replica

_ID_SUFFIX_BYTES = 6


@attrs.frozen(slots=True)
class ReplicaIdentity:
    """Voter id of a disk and the initial voters known to it.

    ``initial`` is empty for a replica that joins a running cluster.
    """

    voter_id: str
    initial: tuple[Replica, ...]

    @property
    def is_initial(self) -> bool:
        """Return whether this replica is an initial voter."""
        return any(
            replica.voter_id == self.voter_id for replica in self.initial
        )


async def choose_identity(
    options: ClusterOptions,
    disk: Disk,
) -> ReplicaIdentity | Failure:
    """Return the identity stored on the disk, or a new one for an empty disk.

    The id of an initial voter is its address, because the other initial
    voters have to know it. Any other empty disk may replace a lost one, so it
    gets a random id that no disk had before. Returns a failure when the
    identity cannot be read or the files of a former id cannot be removed.
    """
    files = ReplicaFiles(disk)
    identity = await files.read_identity()
    if isinstance(identity, Failure):
        return identity
    if identity is None:
        return _first_identity(options)
    if identity.erasing:
        failure = await files.finish_replacement(identity)
        if failure is not None:
            return failure
    return ReplicaIdentity(identity.voter_id, identity.initial)


async def renew_identity(
    options: ClusterOptions,
    disk: Disk,
) -> Failure | None:
    """Erase the disk of a replica whose id was retired, and give it a new id.

    An erased disk is not an empty one: its former id may have voted and
    acknowledged entries, so it never becomes an initial voter again.
    """
    identity = Identity.create(_random_id(options), learner=True)
    return await ReplicaFiles(disk).replace_identity(identity)


def _first_identity(options: ClusterOptions) -> ReplicaIdentity:
    if options.first_start and options.address in options.seed_addresses:
        return ReplicaIdentity(options.address, _initial_replicas(options))
    return ReplicaIdentity(_random_id(options), ())


def _random_id(options: ClusterOptions) -> str:
    suffix = secrets.token_hex(_ID_SUFFIX_BYTES)
    return f'{options.address}#{suffix}'


def _initial_replicas(options: ClusterOptions) -> tuple[Replica, ...]:
    return tuple(
        Replica(
            seed.member_address,
            seed.address,
            seed.member_address,
            voter=True,
        )
        for seed in options.seeds
    )
