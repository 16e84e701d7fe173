"""Network connections that a guard opens and accepts."""

from __future__ import annotations

import ssl
from typing import Protocol

import attrs
import trio

from borageward.clock import Clock
from borageward.controlclient import ControlClient, open_frame_client
from borageward.transport import Address, FrameListener
from borageward.transport.listener import ConnectionHandler


@attrs.frozen(slots=True)
class GuardTls:
    """Mutual TLS contexts.

    ``server`` serves links from entries; ``client`` connects to control.
    """

    server: ssl.SSLContext
    client: ssl.SSLContext


class GuardNetwork(Protocol):
    """Network access of one guard."""

    async def listen(
        self,
        nursery: trio.Nursery,
        handler: ConnectionHandler,
    ) -> Address:
        """Accept links from entries and return the address in use.

        Raise ``OSError`` when the address cannot be bound.
        """

    async def stop_listening(self) -> None:
        """Stop accepting links and close the open ones."""

    async def connect_runner(self) -> trio.abc.Stream:
        """Open a connection to the runner; raise ``OSError`` on failure."""

    def open_control(
        self,
        clock: Clock,
        nursery: trio.Nursery,
    ) -> ControlClient:
        """Return a client of the control replicas."""


class TcpNetwork:
    """TCP network; the runner is on the same host, without TLS."""

    def __init__(
        self,
        link: Address,
        runner: Address,
        control: tuple[Address, ...],
        tls: GuardTls | None,
    ) -> None:
        """Create a network; ``link`` is the address to listen on."""
        self._link = link
        self._runner = runner
        self._control = control
        self._tls = tls
        self._listener: FrameListener | None = None

    async def listen(
        self,
        nursery: trio.Nursery,
        handler: ConnectionHandler,
    ) -> Address:
        """Accept links from entries and return the address in use.

        Raise ``OSError`` when the address cannot be bound.
        """
        tls = None if self._tls is None else self._tls.server
        self._listener = FrameListener(self._link, handler, tls)
        await self._listener.start(nursery)
        return self._listener.address

    async def stop_listening(self) -> None:
        """Stop accepting links and close the open ones."""
        if self._listener is not None:
            await self._listener.close()

    async def connect_runner(self) -> trio.abc.Stream:
        """Open a connection to the runner; raise ``OSError`` on failure."""
        return await trio.open_tcp_stream(self._runner.host, self._runner.port)

    def open_control(
        self,
        clock: Clock,
        nursery: trio.Nursery,
    ) -> ControlClient:
        """Return a client of the control replicas."""
        tls = None if self._tls is None else self._tls.client
        return open_frame_client(self._control, clock, nursery, tls)
