"""HTTP/1.1 server that serves each connection in a task of its own."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeAlias

import trio

from borageward.http.messages import HttpLimits, HttpRequest, HttpResponse
from borageward.http.serverconnection import (
    ConnectionEnded,
    RequestRefused,
    ServerConnection,
)
from borageward.transport import Address, FrameListener

HttpHandler: TypeAlias = Callable[[HttpRequest], Awaitable[HttpResponse]]


class HttpServer:
    """Serves HTTP requests on a TCP address with a handler.

    The handler is cancelled when its client disconnects before the response.
    """

    def __init__(
        self,
        address: Address,
        handler: HttpHandler,
        limits: HttpLimits | None = None,
        *,
        skips_departed: bool = False,
    ) -> None:
        """Prepare a server; port 0 lets the operating system choose one.

        With ``skips_departed`` the handler is not called for a client that has
        closed its side of the connection before its request is read.
        """
        self._handler = handler
        self._limits = limits or HttpLimits()
        self._skips_departed = skips_departed
        self._listener = FrameListener(address, self._serve_connection)
        self._draining = False
        self._connections = 0
        self._idle: set[ServerConnection] = set()
        self._requests = 0

    @property
    def address(self) -> Address:
        """Return the address; after ``start`` it has the bound port."""
        return self._listener.address

    @property
    def open_requests(self) -> int:
        """Return the number of requests whose response is not sent yet."""
        return self._requests

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return self._connections

    async def start(self, nursery: trio.Nursery) -> None:
        """Bind and serve in the nursery.

        Raises ``OSError`` when the address cannot be bound.
        """
        await self._listener.start(nursery)

    def drain(self) -> None:
        """Close each connection after its current or next response."""
        self._draining = True

    async def stop_accepting(self) -> None:
        """Close the listener and the connections that wait for a request.

        Requests in progress are answered before their connection is closed.
        """
        self._draining = True
        await self._listener.stop_accepting()
        for connection in tuple(self._idle):
            await connection.close()

    async def close(self) -> None:
        """Stop accepting and close all connections at once."""
        await self._listener.close()

    async def _serve_connection(self, stream: trio.abc.Stream) -> None:
        connection = ServerConnection(stream, self._limits)
        self._connections += 1
        try:
            while await self._serve_request(connection):
                connection.start_next()
        except ConnectionEnded:
            await connection.close()
        finally:
            self._connections -= 1

    async def _serve_request(self, connection: ServerConnection) -> bool:
        """Serve one request and return whether another one may follow."""
        self._idle.add(connection)
        try:
            request = await connection.receive()
        finally:
            self._idle.discard(connection)
        if request is None:
            return False
        if isinstance(request, RequestRefused):
            await connection.send(HttpResponse(request.status), last=True)
            return False
        if self._skips_departed and await connection.has_client_left():
            return False
        self._requests += 1
        try:
            return await self._answer(connection, request)
        finally:
            self._requests -= 1

    async def _answer(
        self,
        connection: ServerConnection,
        request: HttpRequest,
    ) -> bool:
        response = await self._respond(connection, request)
        if response is None:
            return False
        await connection.send(response, last=self._draining)
        return connection.reusable

    async def _respond(
        self,
        connection: ServerConnection,
        request: HttpRequest,
    ) -> HttpResponse | None:
        """Return the response, or ``None`` if the client disconnects."""
        response: HttpResponse | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _cancel_on_disconnect, connection, nursery.cancel_scope
            )
            response = await self._handler(request)
            nursery.cancel_scope.cancel()
        return response


async def _cancel_on_disconnect(
    connection: ServerConnection,
    scope: trio.CancelScope,
) -> None:
    """Cancel the scope once the client has disconnected."""
    if await connection.wait_until_disconnected():
        scope.cancel()
