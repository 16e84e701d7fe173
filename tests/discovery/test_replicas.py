"""Calls to control replicas whose connections are closed."""

from __future__ import annotations

import trio

from borageward.discovery import ReplicaCalls
from borageward.failures import FailureReason
from borageward.messages.queues import (
    ManifestRequest,
    NewestManifest,
    ReadManifest,
)
from borageward.transport import Address, FrameRpcServer


async def serve(request):
    """Answer a read of the manifest."""
    return NewestManifest(None)


async def test_call_after_close_is_refused(nursery):
    """Guards against a process that ends when its replica is replaced.

    The nursery of the connections has ended, while a call is being forwarded.
    """
    server = FrameRpcServer(Address('127.0.0.1', 0), serve, ManifestRequest)
    await server.start(nursery)
    async with trio.open_nursery() as readers:
        calls = ReplicaCalls(readers)
        await calls.close()
    reply = await calls.call(str(server.address), ReadManifest(), 1000)
    assert reply.reason is FailureReason.LINK_BROKEN
    await server.close()
