"""Majorities of the voters of a replica set."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import TypeAlias, TypeVar

from borageward.messages.consensus import SetJointReplicas, SetReplicas

ValueT = TypeVar('ValueT', int, float)

# Sets of voter ids, each of which has to agree by a majority of its own. There
# are two during an exchange of voters, and one otherwise.
VoterSets: TypeAlias = tuple[tuple[str, ...], ...]


def voter_ids(current: SetReplicas) -> tuple[str, ...]:
    """Return the ids of the voters, during an exchange of those after it."""
    return tuple(rep.voter_id for rep in current.replicas if rep.voter)


def learner_ids(current: SetReplicas) -> tuple[str, ...]:
    """Return the ids of the replicas that belong to no voter set."""
    return tuple(
        rep.voter_id
        for rep in current.replicas
        if not has_vote(current, rep.voter_id)
    )


def voter_sets(current: SetReplicas) -> VoterSets:
    """Return the voter sets that elections and commits need."""
    if isinstance(current, SetJointReplicas):
        return (current.previous_voters, voter_ids(current))
    return (voter_ids(current),)


def has_vote(current: SetReplicas, voter_id: str) -> bool:
    """Return whether a replica belongs to a voter set."""
    return any(voter_id in voters for voters in voter_sets(current))


def majority_value(
    sets: VoterSets,
    values: Mapping[str, ValueT],
    missing: ValueT,
) -> ValueT:
    """Return the highest value that a majority of each set has reached.

    ``missing`` is used for voters without a value, and without voters.
    """
    return min(_majority_value(voters, values, missing) for voters in sets)


def has_majority(sets: VoterSets, granted: Iterable[str]) -> bool:
    """Return whether a majority of each set has granted its vote."""
    votes = set(granted)
    return all(_is_majority(voters, votes) for voters in sets)


def _majority_value(
    voters: Sequence[str],
    values: Mapping[str, ValueT],
    missing: ValueT,
) -> ValueT:
    reached = sorted(values.get(voter, missing) for voter in voters)
    if not reached:
        return missing
    return reached[(len(reached) - 1) // 2]


def _is_majority(voters: Sequence[str], votes: set[str]) -> bool:
    return 2 * len(votes.intersection(voters)) > len(voters)
