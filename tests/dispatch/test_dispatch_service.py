"""An entry before its first manifest."""

from __future__ import annotations

import trio

from borageward.clock import SystemClock
from borageward.dispatch import DispatchService
from borageward.failures import Failure, FailureReason
from borageward.messages.discovery import ClusterView
from borageward.queues import QueueManifest, RequestLimits
from borageward.telemetry import EventLog

MANIFEST = QueueManifest(3, (), (), RequestLimits(1000, 1000, 1000, 1000), b'')


class Replica:
    """A control replica that starts later than the entry."""

    def __init__(self, ready_s):
        self._ready_s = ready_s

    async def call(self, address, request, timeout_ms):
        """Return the manifest once the replica has started."""
        await trio.sleep(0.001)
        if trio.current_time() < self._ready_s:
            return Failure(FailureReason.LINK_BROKEN, address)
        return ClusterView(MANIFEST, 1, (), ())


async def wait_routes(nursery, ready_s):
    """Return the queues and how long a caller waited for them."""
    started = trio.current_time()
    service = DispatchService(
        ('a',),
        lambda _: Replica(started + ready_s),
        SystemClock(),
        EventLog(),
    )
    await service.start(nursery)
    routes = await service.wait_routes()
    return routes, (trio.current_time() - started) * 1000


async def test_caller_waits_for_the_first_manifest(nursery, autojump_clock):
    """Guards against refusals while the system starts again."""
    routes, waited_ms = await wait_routes(nursery, 0.4)
    assert routes is not None
    assert waited_ms < 500


async def test_caller_does_not_wait_long_without_control(
    nursery, autojump_clock
):
    """Guards against callers held back until their deadline."""
    routes, waited_ms = await wait_routes(nursery, 60)
    assert routes is None
    assert waited_ms <= 1001
