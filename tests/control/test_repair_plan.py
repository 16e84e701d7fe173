"""Decisions on the next change to the voters."""

from __future__ import annotations

from borageward.control.cluster.repairplan import (
    RepairCause,
    RepairPlan,
    RepairStep,
    ReplicaHealth,
)
from borageward.control.consensus import VoterExchange
from borageward.messages.consensus import Replica, SetReplicas
from borageward.messages.control import RemoveVoter

READY = ReplicaHealth(0, has_answered=True, is_caught_up=True)
SILENT = ReplicaHealth(3000, has_answered=True, is_caught_up=True)
BEHIND = ReplicaHealth(0, has_answered=True, is_caught_up=False)


def plan(voters, learners, voter_count=3, **health):
    """Return a plan; a replica ``a2`` is at the address of ``a1``.

    Replicas are ready unless their health is given.
    """
    replicas = tuple(
        Replica(name, name[0], name[0], voter=name in voters)
        for name in (*voters, *learners)
    )
    known = {replica.voter_id: READY for replica in replicas} | health
    return RepairPlan(SetReplicas(replicas, ()), known, voter_count)


def exchange(added, removed, cause):
    """Return the step that exchanges voters."""
    return RepairStep(VoterExchange(added, removed), cause)


def test_newest_replica_at_an_address_stays():
    """Guards against a sound replica that an older one has it removed.

    The disk was lost twice; the older replica had caught up before.
    """
    state = plan(('a1', 'b', 'c'), ('a2', 'a3'), a3=BEHIND)
    assert [item.voter_id for item in state.superseded] == ['a1', 'a2']
    removal = RepairStep(RemoveVoter('a2'), RepairCause.SUPERSEDED)
    assert state.next_step() == removal


def test_superseded_learner_is_removed_last():
    """Guards against a voter that waits for the removal of a learner."""
    state = plan(('a1', 'b', 'c'), ('d1', 'd2'))
    removal = RepairStep(RemoveVoter('d1'), RepairCause.SUPERSEDED)
    assert state.next_step() == removal
    state = plan(('a1', 'b', 'c'), ('d1', 'd2', 'a2'))
    assert state.next_step() == exchange(
        ('d2',),
        ('a1',),
        RepairCause.SUPERSEDED,
    )


def test_lost_disk_is_replaced_by_any_ready_learner():
    """Guards against a repair that waits for the host that lost its disk."""
    state = plan(('a1', 'b', 'c'), ('d', 'a2'), a2=BEHIND)
    assert state.survivable_losses == 0
    step = exchange(('d',), ('a1',), RepairCause.SUPERSEDED)
    assert state.next_step() == step
    assert state.survivable_losses_after(step.request) == 1


def test_silent_voter_stays_without_a_ready_learner():
    """Guards against a smaller set of voters, which survives fewer losses."""
    assert plan(('a', 'b', 'c'), (), a=SILENT).next_step() is None
    state = plan(('a', 'b', 'c'), ('d',), a=SILENT, d=SILENT)
    assert state.next_step() is None
    state = plan(('a', 'b', 'c'), ('d',), a=SILENT)
    assert state.next_step() == exchange(('d',), ('a',), RepairCause.SILENT)


def test_voters_grow_to_odd_numbers():
    """Guards against four voters, which survive no more losses than three."""
    assert plan(('a', 'b', 'c'), ('d',), voter_count=5).next_step() is None
    state = plan(('a', 'b', 'c'), ('d', 'e', 'f'), voter_count=5)
    few = RepairCause.TOO_FEW_VOTERS
    assert state.next_step() == exchange(('d', 'e'), (), few)
    state = plan(('a', 'b'), ('c', 'd'))
    assert state.next_step() == exchange(('c',), (), few)
