"""HTTP server of an entry: hypercorn with a time limit on writes."""

from __future__ import annotations

import socket
import ssl

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from borageward.entry.http import Application
from borageward.transport import Address

_BACKLOG = 1024
# Disconnects a caller that does not read its answer. Hypercorn shields its
# writes from cancellation, so only the operating system can end them.
_SEND_TIMEOUT_MS = 15_000
_KEEP_ALIVE_TIMEOUT_S = 30.0
_SHUTDOWN_TIMEOUT_S = 5.0
_MAX_HEADER_BYTES = 16_384


class HttpServer:
    """Serves an ASGI application on a TCP address, with TLS if given."""

    def __init__(
        self,
        address: Address,
        application: Application,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Prepare a server; port 0 lets the operating system choose one."""
        self._address = address
        self._application = application
        self._tls = tls
        self._stop = trio.Event()
        self._stopped = trio.Event()

    @property
    def address(self) -> Address:
        """Return the address; after ``start`` it has the bound port."""
        return self._address

    async def start(self, nursery: trio.Nursery) -> None:
        """Bind and serve in the nursery.

        Raises ``OSError`` when the address cannot be bound.
        """
        listener = _listen(self._address)
        port = listener.getsockname()[1]
        self._address = Address(self._address.host, port)
        await nursery.start(self._serve, listener.detach())

    async def close(self) -> None:
        """Stop accepting and wait until the connections have ended.

        Requests in progress get ``_SHUTDOWN_TIMEOUT_S`` to complete.
        """
        self._stop.set()
        await self._stopped.wait()

    async def _serve(
        self,
        descriptor: int,
        task_status: trio.TaskStatus[list[str]],
    ) -> None:
        try:  # noqa: WPS501 close waits for the end on every path
            await serve(
                self._application,  # type: ignore[arg-type]
                self._config(descriptor),
                shutdown_trigger=self._stop.wait,
                task_status=task_status,
                mode='asgi',
            )
        finally:
            self._stopped.set()

    def _config(self, descriptor: int) -> Config:
        config = _TlsConfig(self._tls)
        config.bind = [f'fd://{descriptor}']
        config.loglevel = 'WARNING'
        config.errorlog = None
        config.keep_alive_timeout = _KEEP_ALIVE_TIMEOUT_S
        config.graceful_timeout = _SHUTDOWN_TIMEOUT_S
        config.h11_max_incomplete_size = _MAX_HEADER_BYTES
        config.include_server_header = False
        config.backlog = _BACKLOG
        return config


class _TlsConfig(Config):
    """Hypercorn configuration with a given TLS context."""

    def __init__(self, tls: ssl.SSLContext | None) -> None:
        super().__init__()
        self._tls = tls

    @property
    def ssl_enabled(self) -> bool:
        return self._tls is not None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        return self._tls


def _listen(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _SEND_TIMEOUT_MS,
    )
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.bind((address.host, address.port))
    return listener
