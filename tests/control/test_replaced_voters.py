"""Clusters that lose a disk while one voter takes the place of another."""

from __future__ import annotations

import pytest
import trio
from trio.testing import MockClock

from borageward.messages.control import Done, PromoteVoter
from tests.control.clusterfakes import Operator, ReplicaCluster

JOIN_S = 4
# After this time all replicas that answer have all entries.
SETTLE_S = 1
DISK_LOSS_DOWN_S = 1
RECOVERY_S = 12


def run(scenario, *, seed, count=4):
    """Run a scenario on three voters and spares in virtual time.

    Afterwards control has to take a manifest, and no read may be old.
    """

    async def main():
        async with trio.open_nursery() as nursery:
            cluster = ReplicaCluster(nursery, count=count, seed=seed)
            operator = Operator(cluster)
            try:
                await play(scenario, cluster, operator)
            finally:
                # A frozen process would not end.
                for process in cluster:
                    process.gate.thaw()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


async def play(scenario, cluster, operator):
    """Run a scenario; judge what control answers afterwards."""
    await operator.publish_until_acknowledged()
    await trio.sleep(JOIN_S)
    await operator.publish_until_acknowledged()
    await trio.sleep(SETTLE_S)
    await scenario(cluster, operator)
    await trio.sleep(RECOVERY_S)
    await operator.read()
    await operator.publish_until_acknowledged()
    await operator.read()
    assert not operator.old_reads


def by_role(cluster):
    """Return the leader, the other two voters and the spare."""
    leader = cluster.leaders()[0]
    followers = [item for item in cluster if item is not leader]
    return (leader, *followers)


async def lose_disk(process):
    """End a process, and start it again with an empty disk."""
    process.wipe()
    process.first_start = False
    await trio.sleep(DISK_LOSS_DOWN_S)
    process.start()


@pytest.mark.parametrize('seed', range(5))
def test_promoted_spare_without_its_promotion_votes(seed):
    """Guards against a cluster that never elects a leader again.

    The spare is frozen while its promotion is committed. The leader loses its
    disk, so the others need the vote of the spare, which is a learner by its
    own log.
    """

    async def scenario(cluster, operator):
        leader, _, _, spare = by_role(cluster)
        spare.gate.freeze()
        promote = PromoteVoter(spare.voter_id)
        assert await leader.node.change_replicas(promote) == Done()
        leader.wipe()
        spare.gate.thaw()
        await lose_disk(leader)

    run(scenario, seed=seed)


@pytest.mark.parametrize('seed', range(5))
def test_spare_freezes_as_it_replaces_a_frozen_voter(seed):
    """Guards against a cluster that one lost disk ends.

    A voter freezes, and the spare 2.33 s later, when the voter is about to be
    replaced. Then another voter loses its disk (review/7).
    """

    async def scenario(cluster, operator):
        leader, frozen, lost, spare = by_role(cluster)
        frozen.gate.freeze()
        await trio.sleep(2.33)
        spare.gate.freeze()
        with trio.move_on_after(1.67):
            while frozen.voter_id in leader.node.status().voters:
                await trio.sleep(0.01)
        await trio.sleep(0.5)
        await lose_disk(lost)
        await trio.sleep(2)
        spare.gate.thaw()
        frozen.gate.thaw()

    run(scenario, seed=seed)
