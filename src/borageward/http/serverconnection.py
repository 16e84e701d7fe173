"""Server side of one HTTP/1.1 connection."""

from __future__ import annotations

import socket

import attrs
import h11
import trio

from borageward.http.messages import HttpLimits, HttpRequest, HttpResponse

_READ_BYTES = 65_536
_MS_PER_SECOND = 1000.0
_BAD_REQUEST = 400
_TIMED_OUT = 408
_TOO_LARGE = 413
# Disconnects a client that does not read its response.
_SEND_TIMEOUT_S = 5.0
# Data that a client may send before it has the response to its request.
_MAX_EARLY_BYTES = 65_536

_CONNECTION_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


_SEND_ERRORS = (*_CONNECTION_ERRORS, h11.ProtocolError, trio.TooSlowError)


class ConnectionEnded(Exception):
    """The connection broke, or the client did not read its response."""


@attrs.frozen(slots=True)
class RequestRefused:
    """Malformed, too large or too slow request.

    ``status`` is the HTTP status to answer.
    """

    status: int


class ServerConnection:
    """Reads requests and writes responses, one exchange at a time."""

    def __init__(self, stream: trio.abc.Stream, limits: HttpLimits) -> None:
        """Wrap the stream of an accepted connection."""
        self._stream = stream
        self._limits = limits
        self._protocol = h11.Connection(h11.SERVER)
        self._body = bytearray()

    @property
    def reusable(self) -> bool:
        """Return whether another request may follow the response."""
        return self._protocol.our_state is h11.DONE

    def start_next(self) -> None:
        """Prepare to receive the next request on the connection."""
        self._protocol.start_next_cycle()

    async def receive(self) -> HttpRequest | RequestRefused | None:
        """Return the next request, or why it is refused.

        Returns ``None`` when no request arrives within the idle timeout or
        the client closes the connection. Raises ``ConnectionEnded`` when the
        connection breaks.
        """
        head = await self._receive_head()
        if not isinstance(head, h11.Request):
            return head
        timeout_s = self._limits.request_timeout_ms / _MS_PER_SECOND
        with trio.move_on_after(timeout_s):
            return await self._receive_body(head)
        return RequestRefused(_TIMED_OUT)

    async def send(self, response: HttpResponse, *, last: bool) -> None:
        """Write a response; ``last`` adds the header ``Connection: close``.

        Raises ``ConnectionEnded`` when the response cannot be sent or the
        client does not read it within ``_SEND_TIMEOUT_S``.
        """
        headers = [
            ('Content-Type', response.content_type),
            ('Content-Length', str(len(response.body))),
            *response.headers,
        ]
        if last:
            headers.append(('Connection', 'close'))
        head = h11.Response(status_code=response.status, headers=headers)
        events = (head, h11.Data(data=response.body), h11.EndOfMessage())
        try:
            chunks = [self._protocol.send(event) or b'' for event in events]
            with trio.fail_after(_SEND_TIMEOUT_S):
                await self._stream.send_all(b''.join(chunks))
        except _SEND_ERRORS as error:
            raise ConnectionEnded from error

    async def has_client_left(self) -> bool:
        """Return whether the client is known to have disconnected already.

        A process that stood still reads a request although its client has left
        since. A connection with TLS counts as open, and so does one on which
        further data has arrived.
        """
        stream = self._stream
        if not isinstance(stream, trio.SocketStream):
            return False
        if not stream.socket.is_readable():
            return False
        try:
            peeked = await stream.socket.recv(1, socket.MSG_PEEK)
        except _CONNECTION_ERRORS:
            return True
        return not peeked

    async def wait_until_disconnected(self) -> bool:
        """Return true once the client disconnects.

        Data of the client is kept as the start of the next request. Returns
        false when the client has sent more than ``_MAX_EARLY_BYTES`` of it:
        its end can then be noticed only with the next request.
        """
        while len(self._protocol.trailing_data[0]) <= _MAX_EARLY_BYTES:
            try:
                chunk = await self._stream.receive_some(_READ_BYTES)
            except _CONNECTION_ERRORS:
                return True
            if not chunk:
                return True
            self._protocol.receive_data(bytes(chunk))
        return False

    async def close(self) -> None:
        """Close the connection without waiting for pending data."""
        await trio.aclose_forcefully(self._stream)

    async def _receive_head(self) -> h11.Request | RequestRefused | None:
        timeout_s = self._limits.idle_timeout_ms / _MS_PER_SECOND
        with trio.move_on_after(timeout_s):
            event = await self._next_event()
            return event if isinstance(event, _HEAD_EVENTS) else None
        return None

    async def _receive_body(
        self,
        head: h11.Request,
    ) -> HttpRequest | RequestRefused | None:
        self._body.clear()
        event = await self._next_event()
        while isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > self._limits.max_body_bytes:
                return RequestRefused(_TOO_LARGE)
            event = await self._next_event()
        if isinstance(event, RequestRefused):
            return event
        if not isinstance(event, h11.EndOfMessage):
            return None
        return _request(head, bytes(self._body))

    async def _next_event(self) -> object:
        try:
            return await self._read_event()
        except h11.RemoteProtocolError:
            return RequestRefused(_BAD_REQUEST)
        except _CONNECTION_ERRORS as error:
            raise ConnectionEnded from error

    async def _read_event(self) -> object:
        event = self._protocol.next_event()
        while event is h11.NEED_DATA:
            if self._protocol.they_are_waiting_for_100_continue:
                await self._send_continue()
            chunk = await self._stream.receive_some(_READ_BYTES)
            self._protocol.receive_data(bytes(chunk))
            event = self._protocol.next_event()
        return event

    async def _send_continue(self) -> None:
        reply = h11.InformationalResponse(status_code=100, headers=[])
        await self._stream.send_all(self._protocol.send(reply) or b'')


_HEAD_EVENTS = (h11.Request, RequestRefused)


def _request(head: h11.Request, body: bytes) -> HttpRequest:
    headers = {
        name.decode('latin-1'): value.decode('latin-1')
        for name, value in head.headers
    }
    return HttpRequest(
        head.method.decode('ascii'),
        head.target.decode('latin-1'),
        headers,
        body,
    )
