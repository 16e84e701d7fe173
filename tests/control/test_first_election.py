"""Elections after one or all replicas have been restarted."""

from __future__ import annotations

import statistics

import trio
from trio.testing import MockClock

from tests.control.fakes import Cluster
from tests.taskorder import seed_task_order

SEEDS = range(10)
# Orders in which trio runs the tasks that become ready together.
TASK_ORDERS = range(12)
# Limits on the time without a leader, in which no caller is served. That time
# is the share of the election timeout (500 ms) that a starting replica waits,
# plus two rounds of votes.
MEDIAN_LIMIT_MS = 400
LONGEST_LIMIT_MS = 900


def run(scenario, *args):
    """Run a scenario in virtual time."""
    return trio.run(scenario, *args, clock=MockClock(autojump_threshold=0))


async def leader_after_restart(seed):
    """Return the time in ms from a restart of all replicas to a leader."""
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery, seed=seed)
        await cluster.start()
        await cluster.wait_leader()
        for process in cluster:
            process.kill()
        await trio.sleep(1)
        started = trio.current_time()
        for process in cluster:
            await process.start()
        while cluster.leader() is None:
            await trio.sleep(0.005)
        took_ms = (trio.current_time() - started) * 1000
        nursery.cancel_scope.cancel()
    return took_ms


async def restart_beside_a_leader(seed):
    """Return whether a leader keeps its term while a follower restarts."""
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery, seed=seed)
        await cluster.start()
        leader = await cluster.wait_leader()
        await trio.sleep(2)
        term = leader.node.leader_term
        follower = next(item for item in cluster if item is not leader)
        follower.kill()
        await trio.sleep(0.2)
        await follower.start()
        await trio.sleep(3)
        stayed = leader.node.leader_term == term
        nursery.cancel_scope.cancel()
    return stayed


def test_leader_is_found_soon_after_a_common_restart():
    """Guards against callers that wait for a whole election timeout.

    After a restart of all replicas no leader is alive. A replica must then
    start the first election before the full timeout has passed.
    """
    for order in TASK_ORDERS:
        seed_task_order(order)
        took_ms = [run(leader_after_restart, seed) for seed in SEEDS]
        assert statistics.median(took_ms) < MEDIAN_LIMIT_MS
        assert max(took_ms) < LONGEST_LIMIT_MS


def test_starting_replica_does_not_trigger_an_election():
    """Guards against an election whenever a single replica restarts.

    A starting replica has a short first timeout. If a leader does not reach
    it in time, the other replicas must refuse the pre-vote.
    """
    assert all(run(restart_beside_a_leader, seed) for seed in SEEDS)
