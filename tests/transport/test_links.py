"""Tests of calls over frames and gRPC, and of their failures."""

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
    """Guards against a reply that is lost or reaches the wrong caller.

    A call without a reply must end as ``TIMEOUT``, and a call after the server
    has closed as ``LINK_BROKEN``.
    """
    server = FrameRpcServer(_LOOPBACK, _serve, ControlRequest)
    await server.start(nursery)
    peer = FramePeer(server.address, ControlReply, nursery)
    assert await peer.call(EndIncarnation(1), 5000) == Done()
    timed_out = await peer.call(EndIncarnation(2), 20)
    assert isinstance(timed_out, Failure)
    assert timed_out.reason is FailureReason.TIMEOUT
    await server.close()
    broken = await peer.call(EndIncarnation(1), 5000)
    assert isinstance(broken, Failure)
    assert broken.reason is FailureReason.LINK_BROKEN
    await peer.close()


async def test_silent_link_is_replaced(nursery):
    """Guards against calls on a connection that a partition has silenced.

    The server accepts connections but never replies. After a call on which no
    byte arrived, the next call must open a new connection.
    """
    accepted = []

    async def accept_silently(stream):
        accepted.append(stream)
        await trio.sleep_forever()

    listener = FrameListener(_LOOPBACK, accept_silently)
    await listener.start(nursery)
    peer = FramePeer(listener.address, ControlReply, nursery)
    for _ in range(2):
        silent = await peer.call(EndIncarnation(1), 50)
        assert silent.reason is FailureReason.TIMEOUT
    assert len(accepted) == 2
    await peer.close()
    await listener.close()


async def test_calls_end_when_the_client_is_closed(monkeypatch, nursery):
    """Guards against a process that ends when it is replaced during a call.

    The client is closed while a call connects, and its nursery ends. The task
    of the caller belongs to another nursery.
    """
    server = FrameRpcServer(_LOOPBACK, _serve, ControlRequest)
    await server.start(nursery)
    connecting = trio.Event()
    open_stream = trio.open_tcp_stream
    replies = []

    async def open_late(host, port):
        connecting.set()
        await trio.sleep(0.05)
        return await open_stream(host, port)

    async def call(peer):
        replies.append(await peer.call(EndIncarnation(1), 5000))

    monkeypatch.setattr(trio, 'open_tcp_stream', open_late)
    async with trio.open_nursery() as callers:
        async with trio.open_nursery() as readers:
            peer = FramePeer(server.address, ControlReply, readers)
            callers.start_soon(call, peer)
            await connecting.wait()
            await peer.close()
        callers.start_soon(call, peer)
    reasons = [reply.reason for reply in replies]
    assert reasons == [FailureReason.LINK_BROKEN, FailureReason.LINK_BROKEN]
    await server.close()


async def test_grpc_call_returns_reply(nursery):
    """Guards against a lost reply and a call that ignores its timeout.

    Replies and timeouts pass from grpcio's threads to the trio event loop.
    """
    server = GrpcServer(_LOOPBACK, _serve, ControlRequest)
    await server.start()
    peer = GrpcPeer(server.address, ControlReply)
    assert await peer.call(EndIncarnation(1), 5000) == Done()
    timed_out = await peer.call(EndIncarnation(2), 20)
    assert isinstance(timed_out, Failure)
    assert timed_out.reason is FailureReason.TIMEOUT
    await peer.close()
    await server.close()
