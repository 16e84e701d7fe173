"""Tests of a cluster with lost disks, replaced voters and late restarts."""

from __future__ import annotations

import trio
from trio.testing import MockClock

from borageward.failures import Failure, FailureReason
from borageward.messages import control as messages
from borageward.messages.configuration import SetLimit
from borageward.messages.consensus import MarkLeaving
from tests.control.fakes import Cluster, FakePeer, Medium
from tests.control.workload import TIMEOUT_MS, Workload

ADDRESS = '127.0.0.1:1'


def run(scenario):
    """Run a scenario on a cluster of three replicas in virtual time."""

    async def main():
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery, seed=3)
            await cluster.start()
            await cluster.wait_leader()
            await scenario(cluster, Workload(cluster, 3))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


async def call(workload, request):
    return await workload.client().call(request, TIMEOUT_MS)


async def change(workload, request):
    """Repeat a change to the set of replicas until it is done."""
    with trio.fail_after(60):
        while await call(workload, request) != messages.Done():
            await trio.sleep(0.1)


async def apply_changes(workload, count):
    for base in range(count):
        request = messages.ApplyChange(
            str(base).encode(), base, SetLimit('max_open_jobs', base), 'o', 'r'
        )
        assert await call(workload, request) == messages.Applied(base + 1)


def test_second_host_lost_after_a_repair():
    """Guards against a repair that leaves log entries on one disk only.

    Replica c loses its disk and d replaces it. Then the leader is lost as
    well, and the remaining voters must hold all acknowledged changes.
    """

    async def scenario(cluster, workload):
        await workload.run(1500)
        cluster['c'].kill()
        cluster['c'].medium = Medium()
        learner = cluster.add('d', learner=True)
        await learner.start()
        await change(workload, messages.AddLearner('d', ADDRESS, ADDRESS))
        await change(workload, messages.PromoteVoter('d'))
        await change(workload, messages.RemoveVoter('c'))
        cluster.leader().kill()
        await workload.check()
        await workload.run(1500)
        await workload.check()
        refused = await call(
            workload, messages.AddLearner('c', ADDRESS, ADDRESS)
        )
        assert refused.reason is FailureReason.INVALID_REQUEST

    run(scenario)


def test_lost_disk_must_not_vote():
    """Guards against a vote from a disk that lost what it acknowledged.

    One replica lacks the latest entries and another is restarted with an
    empty disk while the leader is down. Together they would be a majority
    that elects a leader without these entries. The empty disk must not vote,
    whether it is started as a learner or as a voter.
    """

    async def scenario(cluster, workload):
        await workload.run(1500)
        leader = cluster.leader()
        behind = next(item for item in cluster if item is not leader)
        cluster.network.isolate(behind.voter_id)
        await workload.run(1500)
        lost = next(item for item in cluster if item not in {leader, behind})
        lost.kill()
        lost.medium = Medium()
        leader.kill()
        cluster.network.heal()
        lost.learner = True
        await lost.start()
        await trio.sleep(20)
        assert cluster.leader() is None
        lost.kill()
        lost.medium = Medium()
        lost.learner = False
        await lost.start()
        await trio.sleep(5)
        assert lost.ended_by.reason is FailureReason.STORAGE_FAILED
        await leader.start()
        await workload.check()

    run(scenario)


def test_restart_after_hundreds_of_changes():
    """Guards against a replica that cannot catch up from a snapshot.

    It is down while the others apply 400 changes and compact their logs.
    Afterwards the cluster must restart from its disks with all changes.
    """

    async def scenario(cluster, workload):
        behind = next(item for item in cluster if item is not cluster.leader())
        behind.kill()
        await apply_changes(workload, 400)
        await behind.start()
        with trio.fail_after(30):
            while behind.node.machine.revisions.revision < 400:
                await trio.sleep(0.05)
        for process in cluster:
            process.kill()
        for process in cluster:
            await process.start()
        reply = await call(workload, messages.ReadConfiguration())
        while isinstance(reply, Failure):
            reply = await call(workload, messages.ReadConfiguration())
        assert reply.revision == 400

    run(scenario)


def test_learner_is_promoted_only_when_caught_up():
    """Guards against a majority that counts an empty disk.

    The learner is isolated, so it cannot receive the log.
    """

    async def scenario(cluster, workload):
        await apply_changes(workload, 5)
        learner = cluster.add('d', learner=True)
        cluster.network.isolate('d')
        await learner.start()
        await change(workload, messages.AddLearner('d', ADDRESS, ADDRESS))
        refused = await call(workload, messages.PromoteVoter('d'))
        assert refused.reason is FailureReason.VOTER_CHANGE_PENDING

    run(scenario)


def test_learner_is_promoted_while_entries_are_committed():
    """Guards against a learner that never catches up under load.

    It gets each entry once it is committed, so it always lacks the newest.
    """

    async def scenario(cluster, workload):
        learner = cluster.add('d', learner=True)
        await learner.start()
        async with trio.open_nursery() as nursery:
            for _ in range(40):
                nursery.start_soon(commit_entries, cluster.leader().node)
            await change(workload, messages.AddLearner('d', ADDRESS, ADDRESS))
            await trio.sleep(1)
            for _ in range(20):
                progress = cluster.leader().node.progress_of('d')
                assert progress.is_caught_up
                await trio.sleep(0.01)
            promoted = await call(workload, messages.PromoteVoter('d'))
            assert promoted == messages.Done()
            nursery.cancel_scope.cancel()

    run(scenario)


def test_silent_members_end_and_new_leader_grants_full_lease():
    """Guards against leases that never expire, or that a new leader drops.

    The entry never sends a heartbeat and the guard stops later. The leader is
    killed shortly after their registration.
    """

    async def scenario(cluster, workload):
        entry = messages.RegisterEntry(b'1', 'e', '', '', '')
        entry = await call(workload, entry)
        guard = messages.RegisterGuard(b'2', 'w', '', '', '', '', 1)
        guard = await call(workload, guard)
        heartbeat = messages.Heartbeat(guard.incarnation, 0, 0, leaving=True)
        await trio.sleep(1.2)
        old = cluster.leader()
        old.kill()
        await cluster.wait_leader(other_than=old)
        await call(workload, heartbeat)
        watched = await call(workload, messages.Watch(0, 0))
        assert [item.ended_at for item in watched.entries] == [0]
        assert [item.leaving for item in watched.guards] == [True]
        watched = await call(workload, messages.Watch(watched.version, 600))
        await trio.sleep(2)
        reply = await call(workload, heartbeat)
        assert reply.ended == (entry.incarnation,)
        pending = await call(workload, messages.ReadInForce(1))
        assert len(pending.pending) == 2
        await trio.sleep(4)
        ended = await call(workload, heartbeat)
        assert ended.reason is FailureReason.INCARNATION_ENDED
        since = await call(workload, messages.GuardsSince(guard.incarnation))
        assert [item.worker for item in since.guards] == ['w']

    run(scenario)


def test_thawed_leader_answers_no_stale_read():
    """Guards against a stale read from a leader that lost its majority.

    The leader is frozen until another one has applied a change. It still
    considers itself the leader when it resumes.
    """

    async def scenario(cluster, workload):
        await apply_changes(workload, 1)
        former = cluster.leader()
        cluster.network.isolate(former.voter_id, outbound=False)
        former.gate.freeze()
        successor = await wait_successor(cluster, former)
        await apply_one(cluster, successor, 1)
        async with trio.open_nursery() as readers:
            for delay_ms in range(0, 100, 5):
                readers.start_soon(read_fresh, cluster, former, delay_ms)
            # Half of the reads wait at the frozen process when it resumes.
            await trio.sleep(0.05)
            former.gate.thaw()

    run(scenario)


async def commit_entries(node):
    """Commit one entry after the other, until cancelled."""
    while True:
        await node.propose(MarkLeaving(0))


async def wait_successor(cluster, former):
    """Return the next leader; the frozen one still reports that it leads."""
    while True:
        for process in cluster:
            if process is not former and process.node.leader_term:
                return process
        await trio.sleep(0.05)


async def apply_one(cluster, process, base):
    """Apply a change at one replica until it is acknowledged."""
    request = messages.ApplyChange(
        b'late', base, SetLimit('max_open_jobs', 7), 'o', 'r'
    )
    link = FakePeer(cluster.network, 'client', process.voter_id)
    while await link.call(request, TIMEOUT_MS) != messages.Applied(base + 1):
        await trio.sleep(0.05)


async def read_fresh(cluster, process, delay_ms):
    """Check that one replica rejects a read or returns the newest revision."""
    await trio.sleep(delay_ms / 1000)
    cluster.network.blocked.discard(('client', process.voter_id))
    link = FakePeer(cluster.network, 'client', process.voter_id)
    reply = await link.call(messages.ReadConfiguration(), TIMEOUT_MS)
    if isinstance(reply, messages.ConfigurationRead):
        assert reply.revision == 2
