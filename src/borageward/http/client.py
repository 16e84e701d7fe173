"""HTTP/1.1 client for one server, with persistent connections."""

from __future__ import annotations

import trio

from borageward.clock import Milliseconds
from borageward.failures import Failure, FailureReason, RunState
from borageward.http.connection import HttpConnection, HttpReply
from borageward.transport.address import Address

_MAX_IDLE_CONNECTIONS = 16
_CONNECT_TIMEOUT_S = 1.0
_MS_PER_SECOND = 1000.0


class HttpClient:
    """Calls one server over a pool of persistent connections.

    Each connection carries one exchange at a time.
    """

    def __init__(self, address: Address) -> None:
        """Prepare a client; it connects with the first call."""
        self._address = address
        self._idle: list[HttpConnection] = []

    @property
    def address(self) -> Address:
        """Return the address of the server."""
        return self._address

    async def call(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout_ms: Milliseconds,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> HttpReply | Failure:
        """Send a request and return the reply, or why there is none.

        ``RUNNER_UNREACHABLE`` means that no connection could be opened and
        the request was not sent. After ``TIMEOUT`` or ``LINK_BROKEN`` the
        server may have processed it.
        """
        with trio.move_on_after(timeout_ms / _MS_PER_SECOND):
            return await self._call(method, target, body, headers)
        return Failure(
            FailureReason.TIMEOUT,
            f'no reply from {self._address}',
            RunState.MAY_HAVE_RUN,
        )

    async def close(self) -> None:
        """Close the idle connections; calls in progress keep theirs."""
        idle = list(self._idle)
        self._idle.clear()
        for connection in idle:
            await connection.close()

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
    ) -> HttpReply | Failure:
        connection = await self._acquire()
        if isinstance(connection, Failure):
            return connection
        completed = False
        try:
            reply = await connection.exchange(method, target, body, headers)
            completed = isinstance(reply, HttpReply) and connection.reusable
        finally:
            if not completed:
                with trio.CancelScope(shield=True):
                    await connection.close()
        if completed:
            await self._release(connection)
        return reply

    async def _acquire(self) -> HttpConnection | Failure:
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
            await connection.close()
        try:
            with trio.fail_after(_CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(
                    self._address.host,
                    self._address.port,
                )
        except (OSError, trio.TooSlowError) as error:
            return Failure(FailureReason.RUNNER_UNREACHABLE, str(error))
        return HttpConnection(stream, str(self._address))

    async def _release(self, connection: HttpConnection) -> None:
        if len(self._idle) < _MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            await connection.close()
