"""Requests and replies over message frames."""

from __future__ import annotations

import itertools
import ssl
from typing import Any

import msgspec
import trio

from borageward.clock import Milliseconds
from borageward.failures import Failure, FailureReason
from borageward.transport.address import Address
from borageward.transport.codec import Codec
from borageward.transport.frames import FrameConnection, LinkClosed, broken_link
from borageward.transport.listener import FrameListener
from borageward.transport.peer import Handler

_CONNECT_TIMEOUT_MS = 1000.0
_MS_PER_SECOND = 1000.0


class _Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Encoded request or reply; a reply repeats the ID of its request."""

    request_id: int
    body: bytes


class FrameRpcServer:
    """Server of requests in message frames on a TCP address.

    The requests of one connection are handled concurrently. A malformed
    request closes its connection.
    """

    def __init__(
        self,
        address: Address,
        handler: Handler,
        request_union: Any,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Prepare to serve requests of a union of message types.

        Without a TLS context the server uses plain text.
        """
        self._handler = handler
        self._codec: Codec[Any] = Codec(request_union)
        self._listener = FrameListener(address, self._serve_connection, tls)

    @property
    def address(self) -> Address:
        """Return the address; its port is the bound one after ``start``."""
        return self._listener.address

    async def start(self, nursery: trio.Nursery) -> None:
        """Bind the address and serve in the nursery.

        Raises ``OSError`` when the address cannot be bound.
        """
        await self._listener.start(nursery)

    async def close(self) -> None:
        """Stop listening and cancel the open connections."""
        await self._listener.close()

    async def _serve_connection(self, stream: trio.abc.Stream) -> None:
        connection: FrameConnection[_Envelope]
        connection = FrameConnection(stream, _Envelope)
        async with trio.open_nursery() as nursery:
            try:
                await self._read_requests(connection, nursery)
            except LinkClosed:
                nursery.cancel_scope.cancel()

    async def _read_requests(
        self,
        connection: FrameConnection[_Envelope],
        nursery: trio.Nursery,
    ) -> None:
        while True:
            envelope = await connection.receive()
            if isinstance(envelope, Failure):
                raise LinkClosed
            nursery.start_soon(self._serve_request, connection, envelope)

    async def _serve_request(
        self,
        connection: FrameConnection[_Envelope],
        envelope: _Envelope,
    ) -> None:
        request = self._codec.decode(envelope.body)
        if isinstance(request, Failure):
            await connection.close()
            return
        reply = await self._handler(request)
        body = self._codec.encode(reply)
        try:
            await connection.send(_Envelope(envelope.request_id, body))
        except LinkClosed:
            await connection.close()


class _PendingCall:
    """Request that waits for its reply.

    ``finished`` is set when the reply arrives or the connection breaks;
    ``body`` is still ``None`` in the second case.
    """

    def __init__(self) -> None:
        self.finished = trio.Event()
        self.body: bytes | None = None
        self.connection: FrameConnection[_Envelope] | None = None


class FramePeer:
    """Client of a ``FrameRpcServer``, as a ``Peer``.

    It connects on the first call, and again on the first call after the
    connection broke.
    """

    def __init__(
        self,
        address: Address,
        reply_union: Any,
        nursery: trio.Nursery,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Prepare a client; the task that reads replies runs in the nursery.

        ``reply_union`` is the union of reply types. Without a TLS context the
        connection uses plain text.
        """
        self._address = address
        self._codec: Codec[Any] = Codec(reply_union)
        self._nursery = nursery
        self._tls = tls
        self._request_ids = itertools.count(1)
        self._pending: dict[int, _PendingCall] = {}
        self._connection: FrameConnection[_Envelope] | None = None
        self._connect_lock = trio.Lock()
        self._closed = False

    async def call(
        self,
        request: Any,
        timeout_ms: Milliseconds,
    ) -> Any | Failure:
        """Send a request and return the reply, or a failure.

        The failure is ``TIMEOUT``, ``LINK_BROKEN`` or ``MALFORMED_MESSAGE``.
        ``timeout_ms`` includes the time to connect.
        """
        connection_before = self._connection
        bytes_before = (
            connection_before.bytes_received if connection_before else 0
        )
        with trio.move_on_after(timeout_ms / _MS_PER_SECOND):
            return await self._call(request)
        await self._close_if_silent(connection_before, bytes_before)
        return Failure(FailureReason.TIMEOUT, f'no reply from {self._address}')

    async def close(self) -> None:
        """Close the connection for good.

        Calls in progress and later ones return ``LINK_BROKEN``. The nursery
        may end afterwards, while callers of other nurseries go on.
        """
        self._closed = True
        connection = self._connection
        self._connection = None
        if connection is not None:
            await connection.close()

    async def _close_if_silent(
        self,
        connection_before: FrameConnection[_Envelope] | None,
        bytes_before: int,
    ) -> None:
        """Close the connection if no byte arrived on it during a call.

        When a network partition drops packets without a reset, TCP retransmits
        with a growing delay, so that the old connection stays unusable for a
        while after the network has recovered. A new connection works at once.
        """
        current = self._connection
        if current is None or connection_before not in {None, current}:
            return
        if current.bytes_received == bytes_before:
            await current.close()
            self._forget_connection(current)

    async def _call(self, request: Any) -> Any | Failure:
        request_id = next(self._request_ids)
        pending = _PendingCall()
        self._pending[request_id] = pending
        try:
            return await self._send_and_wait(request_id, pending, request)
        except (OSError, LinkClosed):
            return broken_link(f'no usable connection to {self._address}')
        finally:
            self._pending.pop(request_id, None)

    async def _send_and_wait(
        self,
        request_id: int,
        pending: _PendingCall,
        request: Any,
    ) -> Any | Failure:
        connection = await self._get_connection()
        pending.connection = connection
        body = self._codec.encode(request)
        await connection.send(_Envelope(request_id, body))
        await pending.finished.wait()
        if pending.body is None:
            return broken_link(
                f'connection to {self._address} closed before the reply'
            )
        return self._codec.decode(pending.body)

    async def _get_connection(self) -> FrameConnection[_Envelope]:
        async with self._connect_lock:
            if self._connection is None:
                await self._open_connection()
            if self._connection is None:
                raise LinkClosed
            return self._connection

    async def _open_connection(self) -> None:
        """Connect, unless this client is closed before or meanwhile."""
        if self._closed:
            return
        connection = await self._connect()
        if self._closed:
            await connection.close()
            return
        self._connection = connection
        self._nursery.start_soon(self._read_replies, connection)

    async def _connect(self) -> FrameConnection[_Envelope]:
        stream: trio.abc.Stream
        with trio.move_on_after(_CONNECT_TIMEOUT_MS / _MS_PER_SECOND) as scope:
            stream = await trio.open_tcp_stream(
                self._address.host,
                self._address.port,
            )
        if scope.cancelled_caught:
            raise LinkClosed
        if self._tls is not None:
            stream = trio.SSLStream(
                stream,
                self._tls,
                server_hostname=self._address.host,
            )
        return FrameConnection(stream, _Envelope)

    async def _read_replies(
        self, connection: FrameConnection[_Envelope]
    ) -> None:
        try:
            while True:
                self._deliver_reply(await connection.receive())
        except LinkClosed:
            await connection.close()
        finally:
            self._forget_connection(connection)

    def _deliver_reply(self, envelope: _Envelope | Failure) -> None:
        if isinstance(envelope, Failure):
            raise LinkClosed
        pending = self._pending.get(envelope.request_id)
        if pending is not None:
            pending.body = envelope.body
            pending.finished.set()

    def _forget_connection(
        self, connection: FrameConnection[_Envelope]
    ) -> None:
        if self._connection is connection:
            self._connection = None
        for pending in self._pending.values():
            if pending.connection is connection:
                pending.finished.set()
