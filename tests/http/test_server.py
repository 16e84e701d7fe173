"""HTTP server with slow, malformed and disconnecting clients; shutdown."""

from __future__ import annotations

import contextlib

import trio

from borageward.failures import Failure, FailureReason
from borageward.http import (
    HttpClient,
    HttpLimits,
    HttpReply,
    HttpResponse,
    HttpServer,
)
from borageward.transport import Address

ANY_PORT = Address('127.0.0.1', 0)
GET = b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n'


class Handler:
    """Answers once ``release`` is set; records requests and cancellation."""

    def __init__(self):
        self.release = trio.Event()
        self.requests = []
        self.cancelled = trio.Event()

    async def __call__(self, request):
        self.requests.append(request)
        try:
            await self.release.wait()
        except trio.Cancelled:
            self.cancelled.set()
            raise
        return HttpResponse(200, b'{"ok":true}')


@contextlib.asynccontextmanager
async def serving(limits=None, *, skips_departed=False):
    """Run a server and yield its handler and the server."""
    handler = Handler()
    server = HttpServer(
        ANY_PORT, handler, limits, skips_departed=skips_departed
    )
    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        yield handler, server
        await server.close()
        nursery.cancel_scope.cancel()


async def connect(server):
    """Return a TCP connection to a server."""
    return await trio.open_tcp_stream(
        server.address.host,
        server.address.port,
    )


async def status_of(stream):
    """Receive a response and return its status line."""
    return bytes(await stream.receive_some(4096)).split(b'\r\n')[0]


async def test_connection_serves_several_requests():
    """Guards against a new connection for each call.

    The client must reuse a connection whose response is complete, and the
    server must keep it open.
    """
    async with serving() as (handler, server):
        handler.release.set()
        client = HttpClient(server.address)
        for number in range(3):
            reply = await client.call('POST', f'/{number}', b'{}', 5000)
            assert reply == HttpReply(200, b'{"ok":true}')
        assert server.open_connections == 1
        assert [item.path for item in handler.requests] == ['/0', '/1', '/2']
        await client.close()


async def test_leaving_client_cancels_its_request():
    """Guards against work for a client that has disconnected.

    The server must notice the disconnection while the handler runs, and
    cancel the handler.
    """
    async with serving() as (handler, server):
        stream = await connect(server)
        await stream.send_all(GET)
        while not handler.requests:
            await trio.sleep(0.001)
        await stream.aclose()
        await handler.cancelled.wait()
        assert not handler.release.is_set()


async def test_large_body_is_refused():
    """Guards against a request body that exhausts the memory."""
    async with serving(HttpLimits(max_body_bytes=10)) as (handler, server):
        client = HttpClient(server.address)
        reply = await client.call('POST', '/x', b'x' * 11, 5000)
        assert reply.status == 413
        assert not handler.requests


async def test_half_sent_request_times_out():
    """Guards against connections that stay open for half a request.

    The client sends the head and a part of the body, then nothing.
    """
    async with serving(HttpLimits(request_timeout_ms=20)) as (_, server):
        stream = await connect(server)
        await stream.send_all(b'POST / HTTP/1.1\r\nHost: a\r\n')
        await stream.send_all(b'Content-Length: 5\r\n\r\nab')
        assert b'408' in await status_of(stream)


async def test_unreadable_request_is_refused():
    """Guards against a server that stops when a request is not HTTP."""
    async with serving() as (handler, server):
        stream = await connect(server)
        await stream.send_all(b'\x00\x01 nonsense\r\n\r\n')
        assert b'400' in await status_of(stream)
        handler.release.set()
        client = HttpClient(server.address)
        assert (await client.call('GET', '/', b'', 5000)).status == 200


async def test_stop_accepting_answers_what_was_read():
    """Guards against a shutdown that aborts a request in progress.

    The connection without a request is closed at once, the other one after
    its response.
    """
    async with serving() as (handler, server):
        busy = await connect(server)
        idle = await connect(server)
        await busy.send_all(GET)
        while not handler.requests or server.open_connections < 2:
            await trio.sleep(0.001)
        await server.stop_accepting()
        assert await idle.receive_some(10) == b''
        handler.release.set()
        assert b'200' in await status_of(busy)
        client = HttpClient(server.address)
        refused = await client.call('GET', '/', b'', 1000)
        assert isinstance(refused, Failure)
        assert refused.reason is FailureReason.RUNNER_UNREACHABLE


async def test_draining_server_announces_the_end_of_connections():
    """Guards against a request lost on a connection about to be closed.

    Without ``Connection: close`` the client would send its next request on
    a connection that a draining server closes.
    """
    async with serving() as (handler, server):
        handler.release.set()
        server.drain()
        stream = await connect(server)
        await stream.send_all(GET)
        reply = bytes(await stream.receive_some(4096))
        assert b'connection: close' in reply.lower()


async def test_client_reports_a_lost_answer_as_unknown():
    """Guards against an unanswered request reported as not sent.

    The server has read the request, so it may have processed it.
    """
    async with serving() as (_, server):
        client = HttpClient(server.address)
        reply = await client.call('POST', '/x', b'{}', 30)
        assert isinstance(reply, Failure)
        assert reply.reason is FailureReason.TIMEOUT
