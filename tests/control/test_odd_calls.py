"""Calls that another writer has sent to a control replica."""

from __future__ import annotations

import pytest
import trio

from borageward.clock import SystemClock
from borageward.control.cluster import ClusterService
from borageward.control.cluster.options import ClusterOptions
from borageward.control.storage import FileDisk
from borageward.discovery import ReplicaCalls
from borageward.failures import Failure, FailureReason
from borageward.messages.discovery import (
    AnnounceGuard,
    Announced,
    FetchView,
    GuardAddress,
    JoinCluster,
)
from borageward.settings import ControlAddress
from borageward.telemetry import EventLog
from standins.ports import free_addresses

GOOD = GuardAddress('host', '10.0.0.1:7', 'zone', 'pool')
MANY_DIGITS = '9' * 5000
ODD_ADDRESSES = (
    '',
    'host:80',
    '10.0.0.1:0',
    '10.0.0.1:99999999999',
    f'10.0.0.1:{MANY_DIGITS}',
)
CALL_TIMEOUT_MS = 1000


@pytest.fixture
async def replica(nursery, tmp_path):
    """Return a function that calls a single control replica that leads."""
    operators, address = free_addresses(2)
    seeds = (ControlAddress(operators, address),)
    options = ClusterOptions(operators, address, seeds, True, 0, tmp_path)
    disk = FileDisk(tmp_path)
    service = ClusterService(options, disk, SystemClock(), EventLog())
    await service.start(nursery)
    calls = ReplicaCalls(nursery)

    async def call(request):
        return await calls.call(address, request, CALL_TIMEOUT_MS)

    with trio.fail_after(10):
        while not service.leader_address:
            await trio.sleep(0.02)
    yield call
    await calls.close()
    await service.close()


@pytest.mark.parametrize('address', ODD_ADDRESSES)
async def test_odd_replica_does_not_join(replica, address):
    """Guards against a committed replica that ends all control replicas.

    Each of them opens a link to every member, also after a restart.
    """
    reply = await replica(JoinCluster('odd', '10.0.0.1:1', address))
    assert isinstance(reply, Failure)
    assert reply.reason is FailureReason.INVALID_REQUEST
    assert isinstance(await replica(AnnounceGuard(GOOD)), Announced)


@pytest.mark.parametrize('address', ODD_ADDRESSES)
async def test_odd_guard_is_rejected_and_the_others_hold(replica, address):
    """Guards against one announcement that ends control or entries."""
    assert isinstance(await replica(AnnounceGuard(GOOD)), Announced)
    odd = GuardAddress('odd', address, 'zone', 'pool')
    reply = await replica(AnnounceGuard(odd))
    assert isinstance(reply, Failure)
    assert reply.reason is FailureReason.INVALID_REQUEST
    view = await replica(FetchView(0, 0))
    assert view.guards == (GOOD,)
