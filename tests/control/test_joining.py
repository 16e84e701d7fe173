"""A replica that joins the cluster through the replicas that it knows."""

from __future__ import annotations

import attrs
import trio

from borageward.clock import SystemClock
from borageward.control.cluster.joining import Membership
from borageward.failures import Failure, FailureReason
from borageward.messages.discovery import Joined
from borageward.telemetry import EventLog

LEADER = '10.0.0.5:1'
FOLLOWER = '10.0.0.1:1'


@attrs.define
class Options:
    """The options that a membership reads."""

    address: str = '10.0.0.9:1'
    operator_address: str = '10.0.0.9:2'
    seed_addresses: tuple[str, ...] = (FOLLOWER, '10.0.0.2:1')


class Replicas:
    """Stub of the log of a replica with an empty disk."""

    replicas = ()


class Node:
    """Stub of a node that has no log yet."""

    hears_leader = False
    is_refused = False

    class log:  # noqa: N801 Stands for an attribute.
        """Stub of the log."""

        replicas = Replicas


class Calls:
    """Stub of the calls to replicas; followers name the leader."""

    def __init__(self, leader):
        self.leader = leader
        self.called = []

    async def call(self, address, request, timeout_ms):
        """Answer as the leader or as a follower."""
        self.called.append(address)
        await trio.sleep(0.001)
        if address == LEADER:
            return Joined(retired=True)
        return Failure(FailureReason.NOT_LEADER, self.leader)


def membership(calls):
    """Return the membership of a replica with an empty disk."""
    return Membership(Options(), Node(), 'id', calls, SystemClock(), EventLog())


async def test_replica_joins_a_leader_that_no_seed_names(autojump_clock):
    """Guards against a lost disk that is never replaced by a new voter.

    The leader is not among the seeds of the replica; a follower names it.
    """
    calls = Calls(LEADER)
    with trio.fail_after(5):
        await membership(calls).wait_until_retired()
    assert calls.called == [FOLLOWER, LEADER]


async def test_replica_that_is_named_as_leader_twice_is_called_once(
    autojump_clock,
):
    """Guards against a request that goes round between two followers."""
    calls = Calls(FOLLOWER)
    with trio.move_on_after(0.32):
        await membership(calls).wait_until_retired()
    assert calls.called == [FOLLOWER, '10.0.0.2:1']
