"""Connections that a guard opens and accepts."""

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
    """Contexts of mutual TLS: for links of entries and for control."""

    server: ssl.SSLContext
    client: ssl.SSLContext


class GuardNetwork(Protocol):
    """Network of one guard."""

    async def listen(
        self,
        nursery: trio.Nursery,
        handler: ConnectionHandler,
    ) -> Address:
        """Accept links of entries and return the address in use."""

    async def stop_listening(self) -> None:
        """Stop accepting and end the open links."""

    async def connect_runner(self) -> trio.abc.Stream:
        """Open a connection to the runner, or raise ``OSError``."""

    def open_control(
        self,
        clock: Clock,
        nursery: trio.Nursery,
    ) -> ControlClient:
        """Return a client of the control replicas."""


class TcpNetwork:
    """Network over TCP; the runner is on the guard's own machine."""

    def __init__(
        self,
        link: Address,
        runner: Address,
        control: tuple[Address, ...],
        tls: GuardTls | None,
    ) -> None:
        """Prepare the network for addresses."""
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
        """Accept links of entries and return the address in use."""
        tls = None if self._tls is None else self._tls.server
        self._listener = FrameListener(self._link, handler, tls)
        await self._listener.start(nursery)
        return self._listener.address

    async def stop_listening(self) -> None:
        """Stop accepting and end the open links."""
        if self._listener is not None:
            await self._listener.close()

    async def connect_runner(self) -> trio.abc.Stream:
        """Open a connection to the runner, or raise ``OSError``."""
        return await trio.open_tcp_stream(self._runner.host, self._runner.port)

    def open_control(
        self,
        clock: Clock,
        nursery: trio.Nursery,
    ) -> ControlClient:
        """Return a client of the control replicas."""
        tls = None if self._tls is None else self._tls.client
        return open_frame_client(self._control, clock, nursery, tls)
