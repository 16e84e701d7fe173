"""Tests of requests that arrive before the entry's first manifest."""

from __future__ import annotations

import trio

from borageward.clock import SystemClock
from borageward.dispatch import DispatchService
from borageward.failures import Failure, FailureReason
from borageward.messages.discovery import ClusterView
from borageward.policy.guard_subset import (
    GuardSubset,
    LinkDemand,
    SubsetSize,
)
from borageward.queues import QueueManifest, RequestLimits
from borageward.telemetry import EventLog

MANIFEST = QueueManifest(3, (), (), RequestLimits(1000, 1000, 1000, 1000), b'')


class Replica:
    """Stub of a control replica that answers from ``ready_s`` on."""

    def __init__(self, ready_s):
        self._ready_s = ready_s

    async def call(self, address, request, timeout_ms):
        """Return the manifest, or a broken link before the replica starts."""
        await trio.sleep(0.001)
        if trio.current_time() < self._ready_s:
            return Failure(FailureReason.LINK_BROKEN, address)
        return ClusterView(MANIFEST, 1, (), ())


async def wait_routes(nursery, ready_s):
    """Return the routes and the milliseconds that a caller waited for them."""
    started = trio.current_time()
    clock = SystemClock()
    service = DispatchService(
        ('a',),
        GuardSubset('entry', 'zone', LinkDemand(SubsetSize(), clock)),
        lambda _: Replica(started + ready_s),
        clock,
        EventLog(),
    )
    await service.start(nursery)
    routes = await service.wait_routes()
    return routes, (trio.current_time() - started) * 1000


async def test_caller_waits_for_the_first_manifest(nursery, autojump_clock):
    """Guards against refusals during a restart of the whole system.

    The entry may receive requests shortly before control can send it the
    manifest.
    """
    routes, waited_ms = await wait_routes(nursery, 0.4)
    assert routes is not None
    assert waited_ms < 500


async def test_caller_does_not_wait_long_without_control(
    nursery, autojump_clock
):
    """Guards against callers kept waiting until their deadline.

    While control is down, no manifest arrives.
    """
    routes, waited_ms = await wait_routes(nursery, 60)
    assert routes is None
    assert waited_ms <= 1001
