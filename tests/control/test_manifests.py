"""Queue manifests and the replacement of voters whose disks are lost."""

from __future__ import annotations

import pathlib

import trio
from trio.testing import MockClock

from borageward.control.cluster.options import ClusterOptions
from borageward.control.cluster.repair import VoterRepair
from borageward.control.consensus import voter_ids
from borageward.control.state import StateMachine
from borageward.failures import FailureReason
from borageward.messages.consensus import LogEntry
from borageward.messages.discovery import Joined, JoinCluster
from borageward.messages.queues import ManifestStored, PublishManifest
from borageward.queues import QueueManifest, RequestLimits
from borageward.telemetry import EventLog
from tests.control.fakes import Cluster, FakeClock, Medium

LIMITS = RequestLimits(1000, 1000, 1000, 1000)
ADDRESS = '127.0.0.1:1'
CALL_MS = 300
# Long enough for an election after the loss of the leader.
ELECTION_MS = 6000


def manifest(version, document=b'{}'):
    """Return a manifest without queues."""
    return QueueManifest(version, (), (), LIMITS, document)


def run(scenario, seed=5):
    """Run a scenario on a cluster whose leader replaces lost voters."""

    async def main():
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery, seed=seed)
            await cluster.start()
            for process in cluster:
                nursery.start_soon(repair_of(process).run)
            await cluster.wait_leader()
            await scenario(cluster, nursery)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


def repair_of(process):
    """Return a ``VoterRepair`` for the node of a process."""
    options = ClusterOptions(ADDRESS, ADDRESS, (), True, 1, pathlib.Path())
    return VoterRepair(options, process.node, FakeClock(), EventLog())


async def publish(cluster, version):
    """Publish a manifest until a majority has stored it.

    Return the version in force afterwards.
    """
    with trio.fail_after(30):
        while True:
            leader = await cluster.wait_leader()
            reply = await leader.node.propose(
                PublishManifest(manifest(version)),
            )
            if isinstance(reply, ManifestStored):
                return reply.version


async def newest_version(cluster):
    """Return the manifest version of a leader that confirmed its majority."""
    with trio.fail_after(30):
        while True:
            leader = await cluster.wait_leader()
            node = leader.node
            if await node.confirm_leadership() is None:
                return node.machine.manifests.newest.version


async def follower_of(cluster):
    """Return a running process that knows the leader and does not lead."""
    leader = await cluster.wait_leader()
    with trio.fail_after(30):
        while True:
            followers = [
                process
                for process in cluster
                if process is not leader and knows(process, leader)
            ]
            if followers:
                return followers[0]
            await trio.sleep(0.01)


def knows(process, leader):
    """Return whether a process follows a leader."""
    known = process.node.leader
    return known is not None and known.voter_id == leader.voter_id


async def join(cluster, voter_id, address):
    """Start a replica with an empty disk and add it as a learner."""
    process = cluster.add(voter_id, learner=True)
    await process.start()
    leader = await cluster.wait_leader()
    request = JoinCluster(voter_id, address, address)
    assert await repair_of(leader).add_replica(request) == Joined(retired=False)
    return process


async def wait_voters(cluster, expected):
    """Wait until exactly these voters are committed at the leader."""
    with trio.fail_after(10):
        while True:
            node = (await cluster.wait_leader()).node
            committed = node.log.replicas_at(node.machine.applied_index)
            if set(voter_ids(committed)) == set(expected):
                return
            await trio.sleep(0.05)


def lose_disk(process):
    """Kill a process and replace its disk by an empty one."""
    process.kill()
    process.medium = Medium()


def test_highest_version_wins_and_stays():
    """Guards against a newer manifest replaced by one that arrives late."""

    async def scenario(cluster, _):
        assert await publish(cluster, 5) == 5
        assert await publish(cluster, 3) == 5
        assert await publish(cluster, 9) == 9
        assert await newest_version(cluster) == 9

    run(scenario)


def test_equal_version_changes_nothing():
    """Guards against a manifest replaced by another of the same version.

    Once a version was acknowledged, its content must not change.
    """
    machine = StateMachine()
    for index, document in enumerate((b'first', b'second'), start=1):
        command = PublishManifest(manifest(4, document))
        machine.apply(_entry(index, command))
    assert machine.manifests.newest.document == b'first'


def test_snapshot_keeps_the_manifest():
    """Guards against a manifest that is missing from snapshots.

    It would be lost once the log entry that published it is removed.
    """
    machine = StateMachine()
    machine.apply(_entry(1, PublishManifest(manifest(4, b'kept'))))
    restored = StateMachine()
    assert restored.restore(machine.encode()) is None
    assert restored.manifests.newest == manifest(4, b'kept')


def test_lost_disk_is_replaced_and_a_second_loss_survived():
    """Guards against a manifest lost after two of three disks were lost.

    A learner replaces the voter with the first lost disk, so a majority still
    holds the manifest when the disk of the leader is lost as well.
    """

    async def scenario(cluster, _):
        await publish(cluster, 1)
        lost = next(item for item in cluster if item is not cluster.leader())
        lose_disk(lost)
        await publish(cluster, 2)
        await join(cluster, 'd', '127.0.0.1:4')
        kept = {item.voter_id for item in cluster if item is not lost}
        await wait_voters(cluster, kept)
        lose_disk(cluster.leader())
        assert await newest_version(cluster) == 2
        assert await publish(cluster, 3) == 3

    for seed in range(5):
        run(scenario, seed)


def test_replaced_id_is_told_that_it_is_retired():
    """Guards against a removed voter that starts elections for ever.

    A voter that was unreachable while it was replaced does not know of its
    removal; it learns that its id is retired when it tries to join again.
    """

    async def scenario(cluster, _):
        lost = next(item for item in cluster if item is not cluster.leader())
        lost.kill()
        await join(cluster, 'd', '127.0.0.1:4')
        kept = {item.voter_id for item in cluster if item is not lost}
        await wait_voters(cluster, kept)
        leader = await cluster.wait_leader()
        request = JoinCluster(lost.voter_id, ADDRESS, ADDRESS)
        reply = await repair_of(leader).add_replica(request)
        assert reply == Joined(retired=True)

    run(scenario)


def test_waiting_learner_replaces_nobody_while_all_answer():
    """Guards against the replacement of a voter that is not lost.

    A learner that has caught up must wait while all voters answer.
    """

    async def scenario(cluster, _):
        before = cluster.leader().node.status().voters
        await join(cluster, 'd', '127.0.0.1:4')
        await trio.sleep(10)
        leader = await cluster.wait_leader()
        assert set(leader.node.status().voters) == set(before)

    run(scenario)


def _entry(index, command):
    from msgspec import msgpack

    return LogEntry(index, 1, 1000 + index, msgpack.encode(command))


def test_follower_stores_and_reads_through_the_leader():
    """Guards against orders that need a second exchange to be stored.

    An operator whose answers are lost, or who is redirected to a leader that
    has just been frozen, gets no acknowledgement in time.
    """

    async def scenario(cluster, nursery):
        follower = await follower_of(cluster)
        stored = await follower.manifests.publish(manifest(7), CALL_MS)
        assert stored == ManifestStored(7)
        assert await follower.manifests.newest(CALL_MS) == manifest(7)

    run(scenario)


def test_order_at_a_follower_is_stored_while_the_former_leader_is_frozen():
    """Guards against orders that reach the log only after the thaw."""

    async def scenario(cluster, nursery):
        frozen = await cluster.wait_leader()
        frozen.gate.freeze()
        frozen.alive = False
        await cluster.wait_leader(other_than=frozen)
        frozen.alive = True
        follower = next(
            process
            for process in cluster
            if process is not frozen and not process.node.leader_term
        )
        await trio.sleep(0.2)
        stored = await follower.manifests.publish(manifest(8), CALL_MS)
        assert stored == ManifestStored(8)

    run(scenario)


def test_order_gets_an_answer_when_the_leader_is_silent():
    """Guards against an order that waits for a frozen leader without end."""

    async def scenario(cluster, nursery):
        follower = await follower_of(cluster)
        leader = await cluster.wait_leader()
        cluster.network.isolate(leader.voter_id)
        started = trio.current_time()
        reply = await follower.manifests.publish(manifest(9), CALL_MS)
        assert reply.reason is FailureReason.TIMEOUT
        assert trio.current_time() - started <= CALL_MS / 1000

    run(scenario)


def test_call_is_forwarded_once_only():
    """Guards against calls that circle between replicas without a leader."""

    async def scenario(cluster, nursery):
        follower = await follower_of(cluster)
        reply = await follower.manifests.serve(PublishManifest(manifest(3)))
        assert reply.reason is FailureReason.NOT_LEADER

    run(scenario)


def test_order_sent_during_an_election_reaches_the_new_leader():
    """Guards against an order that waits for the former, frozen leader.

    A follower that has passed it on must pass it on again, or store it, once
    another leader is elected. Otherwise the operator is refused although a
    majority could have stored the order in time.
    """

    async def scenario(cluster, nursery):
        follower = await follower_of(cluster)
        frozen = await cluster.wait_leader()
        frozen.gate.freeze()
        frozen.alive = False
        cluster.network.isolate(frozen.voter_id)
        stored = await follower.manifests.publish(manifest(8), ELECTION_MS)
        # The write that the frozen process had begun cannot be cancelled.
        frozen.gate.thaw()
        assert stored == ManifestStored(8)
        assert await follower.manifests.newest(CALL_MS) == manifest(8)

    for seed in range(5):
        run(scenario, seed)
