"""Clusters that lose a disk while one voter takes the place of another."""

from __future__ import annotations

import contextlib
import itertools

import msgspec
import pytest
import trio
from trio.testing import MockClock

from borageward.control.consensus import VoterExchange
from borageward.messages.consensus import (
    AppendEntries,
    LogCommand,
    SetJointReplicas,
    SetReplicas,
)
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


@pytest.mark.parametrize('seed', range(5))
def test_voter_with_its_uncommitted_removal_stands_for_election(seed):
    """Guards against a cluster that never elects a leader again.

    A leader that removes itself is killed before any other replica has the
    last entry of the exchange. Then another voter loses its disk. The log of
    the removed voter is the newest one, so it grants its vote to no other, and
    has to stand itself.
    """

    async def scenario(cluster, operator):
        leader, lost, kept, spare = by_role(cluster)
        others = (lost, kept, spare)
        exchange = VoterExchange((spare.voter_id,), (leader.voter_id,))
        async with without_entries(others, retires(leader.voter_id)):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(leader.node.change_replicas, exchange)
                with trio.fail_after(1):
                    while not leader.node.log.replicas.retired:
                        await trio.sleep(0.001)
                nursery.cancel_scope.cancel()
            await trio.sleep(0.1)
            leader.kill()
            lost.wipe()
        leader.start()
        await lose_disk(lost)

    run(scenario, seed=seed)


@pytest.mark.parametrize('seed', range(5))
def test_spare_votes_although_a_lost_leader_has_sent_it_entries(seed):
    """Guards against a cluster that never elects a leader again.

    A leader that is cut off has begun to exchange a voter for the spare. The
    next leader doesn't know of it, and loses its disk when only the spare has
    its first entry. The former leader needs the vote of the spare.
    """

    async def scenario(cluster, operator):
        former, removed, kept, spare = by_role(cluster)
        exchange = VoterExchange((spare.voter_id,), (removed.voter_id,))
        others = (removed, kept, spare)
        async with without_entries(others, begins_exchange):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(former.node.change_replicas, exchange)
                with trio.fail_after(1):
                    while not begins_exchange(former.node.log.replicas):
                        await trio.sleep(0.001)
                cluster.network.isolate(former.address)
                nursery.cancel_scope.cancel()
        voters = (former, removed, kept)
        async with without_entries(voters, lambda _: True):
            with trio.fail_after(5):
                while not new_leaders(cluster, former):
                    await trio.sleep(0.01)
            await trio.sleep(0.5)
            successor = new_leaders(cluster, former)[0]
            successor.wipe()
        cluster.network.heal()
        await lose_disk(successor)

    run(scenario, seed=seed)


def new_leaders(cluster, former):
    """Return the processes that lead in a newer term than a former leader."""
    term = former.node.status().term
    return [
        process
        for process in cluster
        if process.node.status().leader == process.voter_id
        and process.node.status().term > term
    ]


def begins_exchange(command):
    """Return whether a command begins an exchange of voters."""
    return isinstance(command, SetJointReplicas)


def retires(voter_id):
    """Return a function that recognizes the removal of a voter."""

    def is_removal(command):
        if not isinstance(command, SetReplicas):
            return False
        return voter_id in command.retired

    return is_removal


@contextlib.asynccontextmanager
async def without_entries(processes, is_dropped):
    """Let processes ignore log entries from the first that is dropped on."""

    def is_kept(entry):
        return not is_dropped(
            msgspec.msgpack.decode(entry.command, type=LogCommand),
        )

    def filtered(answer):
        async def filter_entries(request):
            if isinstance(request, AppendEntries):
                kept = itertools.takewhile(is_kept, request.entries)
                request = msgspec.structs.replace(request, entries=tuple(kept))
            return await answer(request)

        return filter_entries

    answers = {process: process.answer for process in processes}
    for process, answer in answers.items():
        process.answer = filtered(answer)
    try:
        yield
    finally:
        for process, answer in answers.items():
            process.answer = answer
