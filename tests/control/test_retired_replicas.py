"""Replicas whose id was retired or whose disk was erased."""

from __future__ import annotations

import msgspec
import pytest
import trio
from trio.testing import MockClock

from borageward.failures import Failure
from borageward.messages.base import Rejected
from borageward.messages.consensus import (
    AppendEntries,
    InstallSnapshot,
    RequestVote,
)
from borageward.messages.control import RemoveVoter
from borageward.messages.discovery import JoinCluster
from tests.control.clusterfakes import Operator, ReplicaCluster

FREEZE_S = 4
CALM_S = 8
CATCH_UP_S = 4


def run(scenario, *, seed, count=6, before=None):
    """Run a scenario in virtual time; no reply may be an old manifest.

    ``before`` is called when the processes have just started.
    """

    async def main():
        async with trio.open_nursery() as nursery:
            cluster = ReplicaCluster(nursery, count=count, seed=seed)
            if before is not None:
                await before(cluster)
            operator = Operator(cluster)
            await operator.publish_until_acknowledged()
            await trio.sleep(CATCH_UP_S)
            await scenario(cluster, operator)
            await operator.publish_until_acknowledged()
            await operator.read()
            assert not operator.old_reads
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


def by_leader(cluster):
    """Return the processes, the leader first."""
    leader = cluster.leaders()[0]
    return [leader, *(item for item in cluster if item is not leader)]


async def freeze(process):
    process.gate.freeze()
    await trio.sleep(FREEZE_S)
    process.gate.thaw()


@pytest.mark.parametrize('seed', range(5))
def test_retired_initial_voters_form_no_second_cluster(seed):
    """Guards against two leaders that both acknowledge manifests.

    Each initial voter freezes and is replaced by a spare. It erases its disk,
    and must not take its initial id and vote again.
    """

    async def scenario(cluster, operator):
        for number in range(3):
            await freeze(cluster[number])
            await trio.sleep(CALM_S)
            await operator.publish_until_acknowledged()
            await operator.read()
        for first in (0, 3, 1, 4, 2, 5):
            await operator.publish(first)
            await trio.sleep(2)
            await operator.read()
            assert len(cluster.leaders()) == 1

    run(scenario, seed=seed)


@pytest.mark.parametrize('seed', range(5))
def test_replica_killed_while_it_erases_its_disk_joins_again(seed):
    """Guards against an initial id on a disk that was partly erased.

    Each initial voter is replaced, and killed while it erases its disk. It
    restarts with the settings of the first start, and must join as a learner.
    """

    async def scenario(cluster, operator):
        for number in range(3):
            process = cluster[number]
            await freeze(process)
            await wait_erasing(process)
            await trio.sleep(cluster.network.random.uniform(0, 0.03))
            process.kill()
            await trio.sleep(0.5)
            process.start()
            await trio.sleep(CALM_S)
            await operator.publish_until_acknowledged()
            await operator.read()
            assert process.voter_id != process.address
            assert process.node.leader is not None
        assert len(cluster.leaders()) == 1

    run(scenario, seed=seed)


@pytest.mark.parametrize('seed', range(5))
def test_lost_disk_with_settings_of_first_start_does_not_vote(seed):
    """Guards against an election won with the vote of a lost disk.

    One follower lacks the newest manifest. The other loses its disk and
    restarts with the settings of the first start, while the leader is down.
    """

    async def scenario(cluster, operator):
        leader, behind, lost = by_leader(cluster)
        cluster.network.isolate(behind.address)
        await operator.publish_until_acknowledged()
        lost.wipe()
        leader.kill()
        cluster.network.heal()
        lost.start()
        await trio.sleep(CALM_S)
        await operator.read()
        assert not cluster.leaders()
        leader.start()
        await trio.sleep(CALM_S)
        await operator.read()
        assert lost.voter_id != lost.address
        assert lost.voter_id in cluster.voters()

    run(scenario, seed=seed, count=3)


@pytest.mark.parametrize('seed', range(8))
def test_cluster_forms_although_a_disk_is_lost_at_the_first_start(seed):
    """Guards against voters that wait for a lost disk to admit them."""

    async def scenario(cluster, operator):
        assert len(cluster.voters()) == 3

    async def lose_disk(cluster):
        await trio.sleep(cluster.network.random.uniform(0, 0.2))
        cluster[2].wipe()
        cluster[2].first_start = False
        await trio.sleep(0.5)
        cluster[2].start()

    run(scenario, seed=seed, count=3, before=lose_disk)


@pytest.mark.parametrize('seed', range(8))
def test_disk_lost_at_the_first_start_is_replaced(seed):
    """Guards against a voter that is never replaced.

    The other voters may not know its first disk yet.
    """

    async def scenario(cluster, operator):
        lost = cluster[2]
        assert lost.voter_id != lost.address
        assert lost.voter_id in cluster.voters()

    async def lose_disk(cluster):
        await trio.sleep(0.01 * seed)
        cluster[2].wipe()
        cluster[2].first_start = False
        await trio.sleep(0.5)
        cluster[2].start()

    run(scenario, seed=seed, count=3, before=lose_disk)


def test_replica_is_not_retired_before_its_removal_is_committed():
    """Guards against an erased disk whose entries only the leader holds.

    The other voter answers the leader, but stores no entries yet.
    """

    async def scenario(cluster, operator):
        leader, removed, slow = by_leader(cluster)
        removed.gate.freeze()

        answer = slow.answer

        async def drop_entries(request):
            if isinstance(request, AppendEntries):
                request = msgspec.structs.replace(request, entries=())
            return await answer(request)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                leader.node.change_replicas, RemoveVoter(removed.voter_id)
            )
            with trio.fail_after(1):
                while not leader.node.log.replicas.retired:
                    await trio.sleep(0.0001)
            nursery.cancel_scope.cancel()
        slow.answer = drop_entries
        request = JoinCluster(
            removed.voter_id, removed.address, removed.address
        )
        reply = await leader.supervisor.replica.add_replica(request)
        assert isinstance(reply, Failure)
        slow.answer = answer
        removed.gate.thaw()

    run(scenario, seed=1, count=3)


def test_retired_replica_waits_for_space_on_its_disk():
    """Guards against a process that ends while its disk is full."""

    async def scenario(cluster, operator):
        process = cluster[0]
        process.medium.fill()
        await freeze(process)
        await trio.sleep(CALM_S)
        assert process.alive
        process.medium.full = False
        await trio.sleep(CALM_S)
        assert process.voter_id != process.address
        assert process.node.leader is not None

    run(scenario, seed=1)


def test_replica_answers_for_its_own_id_only():
    """Guards against an answer that counts for a former id of the address.

    A replica that has joined under a new id still gets the requests of a
    leader or candidate that knows the former one.
    """

    async def scenario(cluster, operator):
        lost = by_leader(cluster)[1]
        lost.wipe()
        lost.first_start = False
        lost.start()
        await trio.sleep(CALM_S)
        term = lost.node.status().term
        requests = (
            RequestVote(term + 1, 'x', 99, term, pre_vote=False),
            RequestVote(term + 9, 'x', 99, term, pre_vote=True),
            AppendEntries(term + 1, 'x', 0, 0, 0, ()),
            InstallSnapshot(term + 1, 'x', 9, 0, b'', final=False),
        )
        for request in requests:
            former = msgspec.structs.replace(request, recipient=lost.address)
            assert isinstance(await lost.node.serve(former), Rejected)
        assert lost.node.status().term == term

    run(scenario, seed=1, count=3)


@pytest.mark.parametrize('seed', range(5))
def test_silent_spare_replaces_no_voter(seed):
    """Guards against a cluster that one lost disk ends.

    A voter and the spare freeze at the same time. Another voter loses its disk
    meanwhile, and the two voters with whole disks have to go on.
    """

    async def scenario(cluster, operator):
        spare = cluster[3]
        leader, frozen, lost = by_leader(cluster)[:3]
        for process in (frozen, spare):
            process.gate.freeze()
        await trio.sleep(4.5)
        await operator.publish_until_acknowledged()
        lost.wipe()
        lost.first_start = False
        await trio.sleep(1)
        lost.start()
        await trio.sleep(0.5)
        for process in (frozen, spare):
            process.gate.thaw()
        await trio.sleep(12)

    run(scenario, seed=seed, count=4)


async def wait_erasing(process):
    """Wait until a process has closed its replica to erase the disk."""
    with trio.fail_after(CALM_S):
        while process.supervisor.replica is not None:
            await trio.sleep(0.001)


@pytest.mark.parametrize('seed', range(5))
def test_replaced_voter_that_was_cut_off_joins_again(seed):
    """Guards against a spare that is lost for good.

    A voter is cut off until it has been replaced. Nothing that it receives
    afterwards tells of its removal, and the leader that it knows still leads.
    """

    async def scenario(cluster, operator):
        replaced = by_leader(cluster)[1]
        former_id = replaced.voter_id
        cluster.network.isolate(replaced.address)
        await trio.sleep(CALM_S)
        assert former_id not in cluster.voters()
        # The leader stops to send to a removed replica with the next entry.
        await operator.publish_until_acknowledged()
        await trio.sleep(1)
        cluster.network.heal()
        await trio.sleep(CALM_S)
        assert replaced.voter_id != former_id
        assert replaced.node.leader is not None

    run(scenario, seed=seed, count=4)
