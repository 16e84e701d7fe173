"""HTTP client whose pooled connection breaks."""

from __future__ import annotations

import trio

from borageward.failures import Failure, FailureReason
from borageward.http import HttpClient
from borageward.transport import Address

REPLY = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'


async def test_request_on_a_pooled_connection_is_sent_once(nursery):
    """Guards against a call that is carried out twice.

    The server reads the second request and closes the connection without an
    answer, so it may have processed it.
    """
    received = []

    async def serve(stream):
        received.append(await stream.receive_some(4096))
        await stream.send_all(REPLY)
        received.append(await stream.receive_some(4096))

    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    nursery.start_soon(trio.serve_listeners, serve, listeners)
    port = listeners[0].socket.getsockname()[1]
    client = HttpClient(Address('127.0.0.1', port))
    await client.call('POST', '/first', b'{}', 5000)
    reply = await client.call('POST', '/second', b'{}', 5000)
    assert isinstance(reply, Failure)
    assert reply.reason is FailureReason.LINK_BROKEN
    assert [item.split()[1] for item in received] == [b'/first', b'/second']
