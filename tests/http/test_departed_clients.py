"""HTTP requests whose client has left before or while they are served."""

from __future__ import annotations

import socket

from trio.testing import wait_all_tasks_blocked

from tests.http.test_server import GET, connect, serving

# Seconds without any event after which the server has handled all input.
QUIET_S = 0.05


async def settled():
    """Wait until the server has handled all input that has arrived."""
    await wait_all_tasks_blocked(QUIET_S)


def send_and_leave(server, request):
    """Send a request and close the connection before the server can act.

    Nothing else runs meanwhile, as in a process that stands still.
    """
    address = (server.address.host, server.address.port)
    with socket.create_connection(address) as client:
        client.sendall(request)


async def test_request_of_a_client_that_has_left_is_not_handled():
    """Guards against a task that starts although its caller has left.

    A server that stood still reads the request after its caller has closed the
    connection, and may have repeated the request at another server. The second
    request shows that the first one has been read.
    """
    async with serving(skips_departed=True) as (handler, server):
        send_and_leave(server, GET.replace(b'/x', b'/left'))
        await settled()
        stream = await connect(server)
        await stream.send_all(GET)
        await settled()
        assert [item.path for item in handler.requests] == ['/x']


async def test_client_that_leaves_after_further_bytes_is_noticed():
    """Guards against work for a caller that has sent more than one request.

    Its further bytes are the start of the next request or a stray line end.
    """
    async with serving() as (handler, server):
        stream = await connect(server)
        await stream.send_all(GET)
        await settled()
        await stream.send_all(b'\r\n')
        await settled()
        await stream.aclose()
        await settled()
        assert handler.requests
        assert handler.cancelled.is_set()


async def test_client_that_pipelines_a_request_and_leaves_is_noticed():
    """Guards against work for a caller whose next request came at once."""
    async with serving() as (handler, server):
        stream = await connect(server)
        await stream.send_all(GET + GET)
        await settled()
        await stream.aclose()
        await settled()
        assert handler.requests
        assert handler.cancelled.is_set()


async def test_request_before_a_half_close_is_answered():
    """Guards against operators and endpoints that get no answer.

    They may close their side of the connection with their request.
    """
    async with serving() as (handler, server):
        handler.release.set()
        stream = await connect(server)
        await stream.send_all(GET)
        await stream.send_eof()
        assert (await stream.receive_some()).startswith(b'HTTP/1.1 200')
