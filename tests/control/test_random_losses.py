"""Random freezes, cuts and lost disks on replicas in virtual time.

Losses overlap beyond the tolerance, but no more disks are lost at the same time
than it allows: the next one is lost only once the replica of the last one has
been replaced. When all machines are back, control has to serve what was
acknowledged within its recovery time.
"""

from __future__ import annotations

import random

import pytest
import trio
from trio.testing import MockClock

from borageward.control.consensus import voter_ids
from tests.control.clusterfakes import Operator, ReplicaCluster

FORMING_S = 5
RECOVERY_S = 12
ROUNDS = 4


def run(seed, *, losses, spares):
    """Play a seed in virtual time, and judge what control answers."""

    async def main():
        async with trio.open_nursery() as nursery:
            cluster = ReplicaCluster(
                nursery,
                count=2 * losses + 1 + spares,
                seed=seed,
                losses=losses,
            )
            operator = Operator(cluster)
            play = Play(cluster, operator, random.Random(seed), losses)
            try:
                await play.run()
            finally:
                # A frozen process would not end.
                for process in cluster:
                    process.gate.thaw()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


class Play:
    """Random losses in rounds, each ended by the return of all machines."""

    def __init__(self, cluster, operator, source, losses):
        """Prepare a play with its own source of random numbers."""
        self._cluster = cluster
        self._operator = operator
        self._random = source
        self._losses = losses
        # Ids of the replicas whose disks were lost.
        self._lost = set()

    async def run(self):
        """Play all rounds."""
        await self._operator.publish_until_acknowledged()
        await trio.sleep(FORMING_S)
        for _ in range(ROUNDS):
            await self._play_round()
            await trio.sleep(RECOVERY_S)
            await self._operator.read()
            await self._operator.publish_until_acknowledged()
            await self._operator.read()
            assert not self._operator.old_reads
            assert len(self._cluster.leaders()) == 1

    async def _play_round(self):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._publish)
            if self._random.choice((True, False)):
                await self._disturb_exchange(nursery)
            else:
                await self._disturb_any(nursery)
        self._cluster.network.heal()

    async def _disturb_any(self, nursery):
        """Disturb processes independently of each other."""
        disturbances = (
            self._freeze,
            self._freeze,
            self._cut_off,
            self._kill,
            self._lose_disk,
            self._lose_disk,
        )
        for _ in range(self._random.randint(2, 5)):
            disturb = self._random.choice(disturbances)
            process = self._random.choice(list(self._cluster))
            nursery.start_soon(disturb, process)
            await trio.sleep(self._random.uniform(0, 3))

    async def _disturb_exchange(self, nursery):
        """Freeze a voter, the spare as it takes its place, and lose a disk.

        Independent losses seldom meet the exchange of a voter.
        """
        leader = self._cluster.leaders()[0]
        voters = set(leader.node.status().voters)
        others = [item for item in self._cluster if item is not leader]
        self._random.shuffle(others)
        frozen, *kept = [item for item in others if item.voter_id in voters]
        spares = [item for item in others if item.voter_id not in voters]
        nursery.start_soon(self._freeze, frozen, 7)
        await trio.sleep(self._random.uniform(2, 2.8))
        for spare in spares:
            nursery.start_soon(self._freeze, spare, 5)
        await trio.sleep(self._random.uniform(0.1, 1.5))
        lost = self._random.choice([leader, *kept])
        nursery.start_soon(self._lose_disk, lost)

    async def _publish(self):
        for _ in range(self._random.randint(1, 6)):
            await self._operator.publish(self._random.randrange(3))
            await trio.sleep(self._random.uniform(0.2, 1.5))

    async def _freeze(self, process, duration_s=None):
        process.gate.freeze()
        await trio.sleep(duration_s or self._random.uniform(1, 7.5))
        process.gate.thaw()

    async def _cut_off(self, process):
        one_way = self._random.choice((True, False, False))
        self._cluster.network.isolate(process.address, outbound=not one_way)
        await trio.sleep(self._random.uniform(1, 7))
        self._cluster.network.blocked = {
            link
            for link in self._cluster.network.blocked
            if process.address not in link
        }

    async def _kill(self, process):
        process.kill()
        await trio.sleep(self._random.uniform(0.1, 1))
        if not process.alive:
            process.start()

    async def _lose_disk(self, process):
        if self._outstanding() >= self._losses:
            return
        if process.voter_id:
            self._lost.add(process.voter_id)
        process.wipe()
        process.first_start = False
        await trio.sleep(self._random.uniform(0.2, 3))
        if not process.alive:
            process.start()

    def _outstanding(self):
        """Return how many disks were lost and not replaced yet.

        Without a leader, or with too few voters, no repair is completed.
        """
        leaders = self._cluster.leaders()
        if not leaders:
            return len(self._lost)
        node = max(leaders, key=lambda item: item.node.leader_term).node
        committed = node.log.replicas_at(node.machine.applied_index)
        listed = {replica.voter_id for replica in committed.replicas}
        if len(voter_ids(committed)) > 2 * self._losses:
            self._lost &= listed
        return len(self._lost)


@pytest.mark.parametrize('seed', range(20))
def test_control_survives_random_losses(seed):
    """Guards against a cluster that tolerated losses end, or that forgets."""
    run(seed, losses=1, spares=1 + seed % 2)


@pytest.mark.parametrize('seed', range(4))
def test_five_voters_survive_random_losses(seed):
    """Guards against the same with five voters, of which two may be lost."""
    run(seed, losses=2, spares=1)
