"""All orders of losses and repairs, up to a number of steps.

The rules of the product have to hold in each state; the faulty rules show that
the exploration finds what it is there for. What it found in each of them is
the expected number of steps and the problem.
"""

from __future__ import annotations

import sys

import pytest

from borageward.control.consensus.eligibility import may_stand
from borageward.messages.control import PromoteVoter, RemoveVoter
from tests.control.repairmodel import Model, Rules

NO_LEADER = 'no replica can be elected'
REPLACE_AFTER_MS = 2500
LEARNER_SILENCE_MS = 500


def remove_first(replicas, health, voter_count, *, asks_spare=True):
    """Decide as e9e0f80 did, or with ``asks_spare`` unset as before fb71fc5.

    A voter is removed before its successor is promoted. Before fb71fc5, the
    successor could be silent as well.
    """
    learners = [rep for rep in replicas.replicas if not rep.voter]
    voters = [rep for rep in replicas.replicas if rep.voter]
    caught_up = [rep for rep in learners if health[rep.voter_id].is_caught_up]
    newest = {rep.member_address: rep.voter_id for rep in caught_up}
    for rep in replicas.replicas:
        if newest.get(rep.member_address, rep.voter_id) != rep.voter_id:
            return RemoveVoter(rep.voter_id)
    ready = [
        rep
        for rep in caught_up
        if not asks_spare
        or health[rep.voter_id].silence_ms <= LEARNER_SILENCE_MS
    ]
    if ready and len(voters) < voter_count:
        return PromoteVoter(ready[0].voter_id)
    return remove_silent(voters, health) if ready else None


def remove_first_unasked(replicas, health, voter_count):
    """Decide as before fb71fc5."""
    return remove_first(replicas, health, voter_count, asks_spare=False)


def promote_first(replicas, health, voter_count):
    """Promote a successor and remove the voter afterwards."""
    voters = [rep for rep in replicas.replicas if rep.voter]
    newest = {rep.member_address: rep.voter_id for rep in replicas.replicas}
    lost = [rep for rep in voters if newest[rep.member_address] != rep.voter_id]
    if len(voters) > voter_count:
        if lost:
            return RemoveVoter(lost[0].voter_id)
        return remove_silent(voters, health)
    ready = [
        rep
        for rep in replicas.replicas
        if not rep.voter
        and health[rep.voter_id].is_caught_up
        and health[rep.voter_id].silence_ms <= LEARNER_SILENCE_MS
    ]
    if ready and (lost or remove_silent(voters, health)):
        return PromoteVoter(ready[0].voter_id)
    return None


def remove_silent(voters, health):
    """Return the removal of a silent voter, or ``None``."""
    for voter in voters:
        known = health.get(voter.voter_id)
        if known is not None and known.silence_ms > REPLACE_AFTER_MS:
            return RemoveVoter(voter.voter_id)
    return None


def grants_as_voter_only(current, identity, counted_storage_id):
    """Grant a vote only if the own log lists the replica as a voter."""
    return may_stand(current, current, identity)


def stands_by_newest_log(current, committed, identity):
    """Stand only as a voter of the newest replica set of the own log."""
    return may_stand(current, current, identity)


@pytest.mark.parametrize(
    ('losses', 'spares', 'depth'),
    [(1, 1, 6), (1, 2, 5), (2, 1, 4)],
)
def test_control_survives_each_order_of_losses_and_repairs(
    losses,
    spares,
    depth,
    capsys,
):
    """Guards against a cluster that tolerated losses end, or that forgets.

    More steps are explored by hand, see the model.
    """
    found = Model(losses=losses, spares=spares).explore(depth)
    with capsys.disabled():
        sys.stdout.write(f' {found.states} states in {depth} steps ')
    assert (found.problem, found.path) == ('', ())


@pytest.mark.parametrize(
    ('rules', 'steps', 'problem'),
    [
        (Rules(plan=remove_first), 3, NO_LEADER),
        (Rules(plan=remove_first_unasked), 3, NO_LEADER),
        (Rules(plan=promote_first), 6, NO_LEADER),
        (Rules(may_grant_vote=grants_as_voter_only), 3, NO_LEADER),
        (Rules(may_stand=stands_by_newest_log), 7, NO_LEADER),
        (Rules(feeds_learners=True), 6, NO_LEADER),
    ],
    ids=[
        'remove-first',
        'remove-first-silent-spare',
        'promote-first',
        'learner-grants-no-vote',
        'removed-voter-does-not-stand',
        'learner-gets-uncommitted-entries',
    ],
)
def test_exploration_finds_faulty_rule(rules, steps, problem):
    """Guards against an exploration that would miss a known fault."""
    found = Model(losses=1, spares=1, rules=rules).explore(7)
    assert (len(found.path), found.problem) == (steps, problem)


@pytest.mark.parametrize(
    'plan',
    [remove_first, remove_first_unasked],
    ids=['review-7', 'review-2'],
)
def test_cases_of_the_review_are_among_the_orders(plan):
    """Guards against a model in which the review's cases can't happen.

    The spare freezes beside the voter that is removed, so the successor of
    this voter isn't promoted; then another voter loses its disk.
    """
    steps = (
        '1 freezes',
        '3 freezes',
        "0 decides RemoveVoter(voter_id='1')",
        '0 sends to (2,)',
        '2 loses its disk',
    )
    model = Model(losses=1, spares=1, rules=Rules(plan=plan))
    state = model.start()
    for step in steps:
        assert not model.judge(state)
        state = dict(model.steps(state))[step]
    assert model.judge(state) == NO_LEADER
