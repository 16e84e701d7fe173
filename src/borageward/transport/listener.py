"""TCP listener that runs one task per connection."""

from __future__ import annotations

import ssl
from collections.abc import Awaitable, Callable

import trio

from borageward.transport.address import Address

ConnectionHandler = Callable[[trio.abc.Stream], Awaitable[None]]


class FrameListener:
    """Accept connections and run a handler for each of them.

    An ``OSError``, a broken stream or a TLS error ends only the connection
    where it occurs; any other exception of a handler propagates into the
    nursery. A connection is closed when its handler returns.
    """

    def __init__(
        self,
        address: Address,
        handler: ConnectionHandler,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Prepare a listener; port 0 lets the operating system choose.

        Without a TLS context the connections use plain text.
        """
        self._address = address
        self._handler = handler
        self._tls = tls
        self._listeners: list[trio.SocketListener] = []
        self._scope = trio.CancelScope()

    @property
    def address(self) -> Address:
        """Return the address; its port is the bound one after ``start``."""
        return self._address

    async def start(self, nursery: trio.Nursery) -> None:
        """Bind the address and accept connections in the nursery.

        Raises ``OSError`` when the address cannot be bound.
        """
        self._listeners = await trio.open_tcp_listeners(
            self._address.port,
            host=self._address.host,
        )
        port = self._listeners[0].socket.getsockname()[1]
        self._address = Address(self._address.host, port)
        nursery.start_soon(self._serve)

    async def stop_accepting(self) -> None:
        """Close the listening sockets; open connections continue."""
        for listener in tuple(self._listeners):
            await listener.aclose()

    async def close(self) -> None:
        """Close the listening sockets and cancel the open connections."""
        self._scope.cancel()
        for listener in tuple(self._listeners):
            await listener.aclose()

    async def _serve(self) -> None:
        with self._scope:
            async with trio.open_nursery() as nursery:
                for listener in self._listeners:
                    nursery.start_soon(self._accept, listener, nursery)

    async def _accept(
        self,
        listener: trio.SocketListener,
        nursery: trio.Nursery,
    ) -> None:
        try:
            await trio.serve_listeners(
                self._run_connection,
                [listener],
                handler_nursery=nursery,
            )
        except* trio.ClosedResourceError:
            self._listeners.remove(listener)

    async def _run_connection(self, stream: trio.abc.Stream) -> None:
        if self._tls is not None:
            stream = trio.SSLStream(stream, self._tls, server_side=True)
        try:
            await self._handler(stream)
        except (OSError, trio.BrokenResourceError, ssl.SSLError):
            await trio.aclose_forcefully(stream)
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)
