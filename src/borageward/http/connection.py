"""One HTTP/1.1 client connection."""

from __future__ import annotations

import select

import attrs
import h11
import trio

from borageward.failures import Failure, FailureReason, RunState

MAX_RESPONSE_BYTES = 1_048_576

_READ_BYTES = 65_536


@attrs.frozen(slots=True)
class HttpReply:
    """Status code and complete body of a response."""

    status: int
    body: bytes


class _ResponseTooLarge(Exception):
    """The body of a response exceeds ``MAX_RESPONSE_BYTES``."""


_CONNECTION_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.ProtocolError,
    _ResponseTooLarge,
)


class HttpConnection:
    """Persistent client connection that carries one exchange at a time."""

    def __init__(
        self,
        stream: trio.abc.Stream,
        host: str,
        broken_reason: FailureReason = FailureReason.LINK_BROKEN,
    ) -> None:
        """Wrap a stream to a server.

        ``host`` is sent as the ``Host`` header. ``broken_reason`` is the
        reason of the failure when an exchange breaks.
        """
        self._stream = stream
        self._host = host
        self._broken_reason = broken_reason
        self._protocol = h11.Connection(h11.CLIENT)
        self._status = 0
        self._body = bytearray()

    @property
    def reusable(self) -> bool:
        """Return whether another exchange may use the connection."""
        if self._protocol.our_state is not h11.IDLE:
            return False
        # Input on an idle connection means that the server has closed it.
        socket = getattr(self._stream, 'socket', None)
        if socket is None:
            return True
        poll = select.poll()
        poll.register(socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    async def exchange(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        headers: tuple[tuple[str, str], ...] = (),
    ) -> HttpReply | Failure:
        """Send a request and return the reply, or why there is none.

        A response of more than ``MAX_RESPONSE_BYTES`` is a failure too. After
        a failure the server may have processed the request.
        """
        try:
            await self._send(method, target, body, headers)
            return await self._receive()
        except _CONNECTION_ERRORS as error:
            return Failure(
                self._broken_reason,
                f'{type(error).__name__}: {error}',
                RunState.MAY_HAVE_RUN,
            )

    async def drain(self) -> None:
        """Read and discard the pending response.

        Closes the connection when it breaks before the response is complete.
        """
        try:
            await self._receive()
        except _CONNECTION_ERRORS:
            await self.close()

    async def close(self) -> None:
        """Close the connection without waiting for pending data."""
        await trio.aclose_forcefully(self._stream)

    async def _send(
        self,
        method: str,
        target: str,
        body: bytes,
        extra: tuple[tuple[str, str], ...],
    ) -> None:
        headers = [
            ('Host', self._host),
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
            *extra,
        ]
        request = h11.Request(method=method, target=target, headers=headers)
        self._body.clear()
        events = (request, h11.Data(data=body), h11.EndOfMessage())
        chunks = [self._protocol.send(event) or b'' for event in events]
        await self._stream.send_all(b''.join(chunks))

    async def _receive(self) -> HttpReply:
        event = await self._next_event()
        while not isinstance(event, h11.EndOfMessage):
            if isinstance(event, h11.ConnectionClosed):
                raise trio.BrokenResourceError(
                    'the server closed the connection'
                )
            if isinstance(event, h11.Response):
                self._status = event.status_code
            if isinstance(event, h11.Data):
                self._append_body(event.data)
            event = await self._next_event()
        return self._finish_reply()

    async def _next_event(self) -> object:
        event = self._protocol.next_event()
        while event is h11.NEED_DATA:
            chunk = await self._stream.receive_some(_READ_BYTES)
            self._protocol.receive_data(bytes(chunk))
            event = self._protocol.next_event()
        return event

    def _append_body(self, chunk: bytes | bytearray) -> None:
        if len(self._body) + len(chunk) > MAX_RESPONSE_BYTES:
            raise _ResponseTooLarge(
                f'the response has more than {MAX_RESPONSE_BYTES} bytes',
            )
        self._body += chunk

    def _finish_reply(self) -> HttpReply:
        reply = HttpReply(self._status, bytes(self._body))
        if self._protocol.their_state is h11.DONE:
            self._protocol.start_next_cycle()
        return reply
