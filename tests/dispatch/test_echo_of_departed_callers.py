"""Echoes of an entry that finds its caller gone after it stood still."""

from __future__ import annotations

import os
import socket
import struct

import pytest
import trio

from borageward.messages.runs import (
    EndpointState,
    RunRef,
    SessionHeartbeat,
    StopRuns,
    TaskKey,
)
from borageward.transport import FrameConnection
from borageward.transport.codec import Codec
from tests.dispatch.test_guardlink import SilentGuard, open_link

# The writer and the caller's handler run in random order.
ROUNDS = 40


@pytest.fixture
def writes(monkeypatch):
    """Return the lists of messages that an entry has written at once."""
    written = []
    send_all = FrameConnection.send_all

    async def record(connection, messages):
        written.append(list(messages))
        await send_all(connection, messages)

    monkeypatch.setattr(FrameConnection, 'send_all', record)
    return written


async def serve_caller(stream, link, ref):
    """Stop a run once its caller has left, as the HTTP server does."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait_until_left, stream, nursery.cancel_scope)
        try:
            await trio.sleep_forever()
        finally:
            link.stop([ref])


async def wait_until_left(stream, scope):
    chunk = await stream.receive_some(1)
    while chunk:
        chunk = await stream.receive_some(1)
    scope.cancel()


def send_at_once(guard):
    """Send a state of the guard without letting other tasks run."""
    frame = Codec(EndpointState).encode(guard.state())
    stream = guard.connection._stream
    os.write(stream.socket.fileno(), struct.pack('>I', len(frame)) + frame)


async def test_no_echo_is_written_before_the_stops_of_departed_callers(
    nursery, writes
):
    """Guards against an echo that extends the authority of a run to stop.

    The state of a guard and the end of the caller's connection are read at the
    same time. The guard may start or extend the run between the two messages.
    """
    guard = SilentGuard()
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    nursery.start_soon(trio.serve_listeners, guard.serve, listeners)
    port = listeners[0].socket.getsockname()[1]
    link = await open_link(nursery, port)
    first_echoes = 0
    for number in range(ROUNDS):
        ref = RunRef(TaskKey(f'job-{number}', 0, 0, 0), 1)
        near, far = socket.socketpair()
        caller = trio.SocketStream(trio.socket.from_stdlib_socket(near))
        nursery.start_soon(serve_caller, caller, link, ref)
        # An echo follows only after 150 ms.
        await trio.sleep(0.17)
        writes.clear()
        # Both are in the buffers before the entry reads either.
        send_at_once(guard)
        far.close()
        await trio.sleep(0.03)
        kinds = [{type(message) for message in batch} for batch in writes]
        assert any(StopRuns in kind for kind in kinds)
        stop_at = next(i for i, kind in enumerate(kinds) if StopRuns in kind)
        first_echoes += any(
            SessionHeartbeat in kind for kind in kinds[:stop_at]
        )
    assert not first_echoes
