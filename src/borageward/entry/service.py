"""The entry role: its core with the HTTP server and the link server."""

from __future__ import annotations

import ssl

import attrs
import trio

from borageward.clock import Clock
from borageward.controlclient import open_frame_client
from borageward.entry.controllink import ControlLink
from borageward.entry.batcher import Control
from borageward.entry.core import EntryCore
from borageward.entry.corelinks import CoreLinks
from borageward.entry.http import Application, HttpApplication
from borageward.entry.openapi import quart_application
from borageward.entry.peerserver import PeerHandler
from borageward.entry.server import HttpServer
from borageward.failures import Failure
from borageward.messages.entry import EntryReply, EntryRequest
from borageward.policy.dispatch import DispatchPolicy
from borageward.settings import EntrySettings
from borageward.telemetry import EventLog, Metrics
from borageward.transport import (
    Address,
    FramePeer,
    FrameRpcServer,
    Peer,
    parse_address,
)


@attrs.frozen(slots=True)
class EntryAccess:
    """TLS contexts of an entry and its operators' application, all optional.

    ``client`` is for links to guards, entries and control, ``server`` for
    links from entries, ``http`` for callers. Without a context the respective
    connections are not encrypted. ``operators`` serves the HTTP paths that
    the entry does not serve itself; by default only ``/openapi.json``.
    """

    client: ssl.SSLContext | None = None
    server: ssl.SSLContext | None = None
    http: ssl.SSLContext | None = None
    operators: Application | None = None


class EntryService:
    """One entry: serves callers over HTTP and other entries over frames."""

    def __init__(
        self,
        settings: EntrySettings,
        place: str,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        policy: DispatchPolicy,
        access: EntryAccess = EntryAccess(),  # noqa: B008, WPS404
    ) -> None:
        """Prepare the role; ``place`` is where the entry runs.

        Raises ``ValueError`` when an address in the settings does not parse.
        """
        self._settings = settings
        self._clock = clock
        self._access = access
        self._scope = trio.CancelScope()
        self._stopped = trio.Event()
        self._nursery: trio.Nursery | None = None
        self._core = EntryCore(
            settings,
            place,
            clock,
            log,
            policy,
            CoreLinks(self._open_control(), self._open_stream, self._open_peer),
            self._bound_addresses,
        )
        self._link_server = FrameRpcServer(
            _require_address(settings.link_address),
            PeerHandler(self._core.job_manager).serve,
            EntryRequest,
            access.server,
        )
        self._application = HttpApplication(
            self._core.job_manager,
            self._core.job_manager.query_source(settings.name, place),
            access.operators or quart_application(),  # type: ignore[arg-type]
            log,
            metrics,
        )
        self._http_server = HttpServer(
            _require_address(settings.http_address),
            self._application,
            access.http,
        )

    @property
    def http_address(self) -> Address:
        """Return the HTTP address; after ``start`` it has the bound port."""
        return self._http_server.address

    @property
    def link_address(self) -> Address:
        """Return the link address; after ``start`` it has the bound port."""
        return self._link_server.address

    async def start(self, nursery: trio.Nursery) -> None:
        """Bind both addresses, then register and serve in the background.

        Raises ``OSError`` when an address cannot be bound.
        """
        await nursery.start(self._run)

    async def close(self) -> None:
        """Refuse new jobs, answer the open ones and end the incarnation."""
        await self._core.drain()
        await self._application.drain()
        await self._http_server.close()
        await self._link_server.close()
        await self._core.leave()
        # A call on a closed link raises, so everything that makes calls is
        # cancelled before the core closes its links.
        self._scope.cancel()
        await self._stopped.wait()
        await self._core.close()

    async def _run(self, task_status: trio.TaskStatus[None]) -> None:
        try:  # noqa: WPS501 close waits for the end on every path
            with self._scope:
                async with trio.open_nursery() as nursery:
                    self._nursery = nursery
                    await self._link_server.start(nursery)
                    await self._http_server.start(nursery)
                    await self._core.start(nursery)
                    task_status.started()
                    await trio.sleep_forever()
        finally:
            self._stopped.set()

    def _bound_addresses(self) -> tuple[str, str]:
        return str(self.link_address), str(self.http_address)

    def _open_control(self) -> Control:
        members = self._settings.control
        addresses = [
            _require_address(member.member_address) for member in members
        ]
        return ControlLink(
            lambda: open_frame_client(
                addresses,
                self._clock,
                self._require_nursery(),
                self._access.client,
            ),
        )

    async def _open_stream(self, text: str) -> trio.abc.Stream:
        address = parse_address(text)
        if isinstance(address, Failure):
            raise OSError(address.detail)
        stream = await trio.open_tcp_stream(address.host, address.port)
        if self._access.client is None:
            return stream
        return trio.SSLStream(
            stream,
            self._access.client,
            server_hostname=address.host,
        )

    def _open_peer(self, text: str) -> Peer:
        return FramePeer(
            _require_address(text),
            EntryReply,
            self._require_nursery(),
            self._access.client,
        )

    def _require_nursery(self) -> trio.Nursery:
        if self._nursery is None:
            raise RuntimeError('the entry has not been started')
        return self._nursery


def _require_address(text: str) -> Address:
    address = parse_address(text)
    if isinstance(address, Failure):
        raise ValueError(address.detail)
    return address
