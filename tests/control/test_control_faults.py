"""Acknowledged claims and revisions under combined faults.

Every scenario runs in virtual time and is determined by its seed. The checks
use only replies that clients received, never the state of a replica.
"""

from __future__ import annotations

import types

import pytest
import trio
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from tests.control.fakes import Cluster
from tests.control.workload import Workload

PLAN_STEP_MS = 600


def run(scenario, *args):
    """Run a scenario in virtual time."""
    clock = MockClock(autojump_threshold=0)
    return trio.run(scenario, *args, clock=clock)


def lose_messages(process, network):
    """Lose and duplicate messages on all links."""
    network.loss_rate = 0.15
    network.duplicate_rate = 0.15


def isolate(process, network):
    network.isolate(process.voter_id)


def drop_inbound(process, network):
    network.isolate(process.voter_id, outbound=False)


def drop_outbound(process, network):
    network.isolate(process.voter_id, inbound=False)


FAULTS = types.MappingProxyType(
    {
        'kill': lambda process, _network: process.kill(),
        'freeze': lambda process, _network: process.gate.freeze(),
        'isolate': isolate,
        'drop_inbound': drop_inbound,
        'drop_outbound': drop_outbound,
        'lossy': lose_messages,
        'full': lambda process, _network: process.medium.fill(),
        'fail_sync': lambda process, _network: process.medium.fail_next_sync(),
    }
)


def inject(cluster, fault, target):
    """Inject a fault into the named process or into the leader."""
    process = cluster.leader() if target == 'leader' else cluster[target]
    FAULTS[fault](process or cluster['a'], cluster.network)


async def heal(cluster):
    """Undo all faults and restart the processes that ended."""
    cluster.network.heal()
    for process in cluster:
        process.medium.full = False
        process.medium.fail_sync = False
        process.gate.thaw()
        if not process.alive:
            await process.start()


async def run_faults(seed, plan):
    """Run clients during the steps (fault, target, heals) of a plan.

    At the end all faults are undone, and the cluster has to hold every claim
    and revision that was acknowledged.
    """
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery, seed=seed)
        cluster['b'].skew_ms = 5000
        await cluster.start()
        await cluster.wait_leader()
        workload = Workload(cluster, seed)
        nursery.start_soon(workload.run, PLAN_STEP_MS * (len(plan) + 3))
        for fault, target, heals in plan:
            await trio.sleep(PLAN_STEP_MS / 1000)
            inject(cluster, fault, target)
            if heals:
                await trio.sleep(PLAN_STEP_MS / 1000)
                await heal(cluster)
        await trio.sleep(PLAN_STEP_MS / 1000)
        await heal(cluster)
        await trio.sleep(4 * PLAN_STEP_MS / 1000)
        await workload.check()
        assert workload.acknowledged.owners
        nursery.cancel_scope.cancel()


steps = st.tuples(
    st.sampled_from(tuple(FAULTS)),
    st.sampled_from(('leader', 'a', 'b', 'c')),
    st.booleans(),
)


# The random plans combine faults of the network, disks and processes. A claim
# or revision is lost when a leader acknowledges it without a majority that has
# synced it; a job gets two owners when two leaders grant it.
@settings(
    derandomize=True,
    deadline=None,
    max_examples=10,
    phases=(Phase.explicit, Phase.generate),
)
@given(st.integers(0, 1 << 20), st.lists(steps, min_size=1, max_size=5))
def test_acknowledged_work_survives_faults(seed, plan):
    """Guards against lost claims and revisions and against two owners."""
    run(run_faults, seed, plan)


@pytest.mark.parametrize('first', tuple(FAULTS))
@pytest.mark.parametrize('second', ('kill', 'freeze'))
def test_two_faults_at_once(first, second):
    """Guards against lost work when a fault occurs during recovery.

    A fault is injected into the leader. One step later, before that fault is
    undone, the process that then leads is killed or frozen.
    """
    plan = [(first, 'leader', False), (second, 'leader', True)]
    run(run_faults, 7, plan * 2)
