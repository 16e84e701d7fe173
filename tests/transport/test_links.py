"""Calls over frames and gRPC, and their failures."""

from __future__ import annotations

import trio

from borageward.failures import Failure, FailureReason
from borageward.messages.control import (
    ControlReply,
    ControlRequest,
    Done,
    EndIncarnation,
)
from borageward.transport import (
    Address,
    FrameListener,
    FramePeer,
    FrameRpcServer,
)
from borageward.transport.grpc import GrpcPeer, GrpcServer

_LOOPBACK = Address('127.0.0.1', 0)


async def _serve(request: ControlRequest) -> ControlReply:
    if request == EndIncarnation(2):
        await trio.sleep_forever()
    return Done()


async def test_frame_call_returns_reply(nursery):
    """Guards against a reply that reaches the wrong caller or none."""
    server = FrameRpcServer(_LOOPBACK, _serve, ControlRequest)
    await server.start(nursery)
    peer = FramePeer(server.address, ControlReply, nursery)
    assert await peer.call(EndIncarnation(1), 5000) == Done()
    slow = await peer.call(EndIncarnation(2), 20)
    assert isinstance(slow, Failure)
    assert slow.reason is FailureReason.TIMEOUT
    await server.close()
    broken = await peer.call(EndIncarnation(1), 5000)
    assert isinstance(broken, Failure)
    assert broken.reason is FailureReason.LINK_BROKEN
    await peer.close()


async def test_silent_link_is_replaced(nursery):
    """Guards against waiting for a link that a partition has silenced."""
    accepted = []

    async def swallow(stream):
        accepted.append(stream)
        await trio.sleep_forever()

    listener = FrameListener(_LOOPBACK, swallow)
    await listener.start(nursery)
    peer = FramePeer(listener.address, ControlReply, nursery)
    for _ in range(2):
        silent = await peer.call(EndIncarnation(1), 50)
        assert silent.reason is FailureReason.TIMEOUT
    assert len(accepted) == 2
    await peer.close()
    await listener.close()


async def test_grpc_call_returns_reply(nursery):
    """Guards against a bridge that loses replies or hangs on a timeout."""
    server = GrpcServer(_LOOPBACK, _serve, ControlRequest)
    await server.start()
    peer = GrpcPeer(server.address, ControlReply)
    assert await peer.call(EndIncarnation(1), 5000) == Done()
    slow = await peer.call(EndIncarnation(2), 20)
    assert isinstance(slow, Failure)
    assert slow.reason is FailureReason.TIMEOUT
    await peer.close()
    await server.close()
