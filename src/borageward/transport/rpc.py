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
    """Request or reply with the number that correlates them."""

    number: int
    body: bytes


class FrameRpcServer:
    """Serve a handler on a TCP address, several requests at a time."""

    def __init__(
        self,
        address: Address,
        handler: Handler,
        request_union: Any,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Prepare the server for requests of a union of messages."""
        self._handler = handler
        self._codec: Codec[Any] = Codec(request_union)
        self._listener = FrameListener(address, self._serve_connection, tls)

    @property
    def address(self) -> Address:
        """Return the address in use, with the port after ``start``."""
        return self._listener.address

    async def start(self, nursery: trio.Nursery) -> None:
        """Bind and serve in the nursery."""
        await self._listener.start(nursery)

    async def close(self) -> None:
        """Stop serving."""
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
            nursery.start_soon(self._answer, connection, envelope)

    async def _answer(
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
            await connection.send(_Envelope(envelope.number, body))
        except LinkClosed:
            await connection.close()


class _PendingCall:
    """Reply slot of one request."""

    def __init__(self) -> None:
        self.event = trio.Event()
        self.body: bytes | None = None
        self.connection: FrameConnection[_Envelope] | None = None


class FramePeer:
    """Client of a ``FrameRpcServer``; connects when first used."""

    def __init__(
        self,
        address: Address,
        reply_union: Any,
        nursery: trio.Nursery,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Prepare a client whose reader runs in the nursery."""
        self._address = address
        self._codec: Codec[Any] = Codec(reply_union)
        self._nursery = nursery
        self._tls = tls
        self._numbers = itertools.count(1)
        self._pending: dict[int, _PendingCall] = {}
        self._connection: FrameConnection[_Envelope] | None = None
        self._connect_lock = trio.Lock()

    async def call(
        self,
        request: Any,
        timeout_ms: Milliseconds,
    ) -> Any | Failure:
        """Return the reply, or ``TIMEOUT`` or ``LINK_BROKEN``."""
        before = self._connection
        received = before.bytes_received if before else 0
        with trio.move_on_after(timeout_ms / _MS_PER_SECOND):
            return await self._call(request)
        await self._drop_silent(before, received)
        return Failure(FailureReason.TIMEOUT, f'no reply from {self._address}')

    async def close(self) -> None:
        """Close the link."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            await connection.close()

    async def _drop_silent(
        self,
        before: FrameConnection[_Envelope] | None,
        received: int,
    ) -> None:
        """Drop a connection that brought nothing during a call.

        After a silent partition the system sends again only after a growing
        delay; a new connection works at once.
        """
        current = self._connection
        if current is None or before not in {None, current}:
            return
        if current.bytes_received == received:
            await current.close()
            self._drop(current)

    async def _call(self, request: Any) -> Any | Failure:
        number = next(self._numbers)
        pending = _PendingCall()
        self._pending[number] = pending
        try:
            return await self._exchange(number, pending, request)
        except (OSError, LinkClosed):
            return broken_link(f'no link to {self._address}')
        finally:
            self._pending.pop(number, None)

    async def _exchange(
        self,
        number: int,
        pending: _PendingCall,
        request: Any,
    ) -> Any | Failure:
        connection = await self._connected()
        pending.connection = connection
        body = self._codec.encode(request)
        await connection.send(_Envelope(number, body))
        await pending.event.wait()
        if pending.body is None:
            return broken_link(f'link to {self._address} broke')
        return self._codec.decode(pending.body)

    async def _connected(self) -> FrameConnection[_Envelope]:
        async with self._connect_lock:
            if self._connection is None:
                self._connection = await self._connect()
                self._nursery.start_soon(self._read, self._connection)
            return self._connection

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

    async def _read(self, connection: FrameConnection[_Envelope]) -> None:
        try:
            while True:
                self._dispatch(await connection.receive())
        except LinkClosed:
            await connection.close()
        finally:
            self._drop(connection)

    def _dispatch(self, envelope: _Envelope | Failure) -> None:
        if isinstance(envelope, Failure):
            raise LinkClosed
        pending = self._pending.get(envelope.number)
        if pending is not None:
            pending.body = envelope.body
            pending.event.set()

    def _drop(self, connection: FrameConnection[_Envelope]) -> None:
        if self._connection is connection:
            self._connection = None
        for pending in self._pending.values():
            if pending.connection is connection:
                pending.event.set()
