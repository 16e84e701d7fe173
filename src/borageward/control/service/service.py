"""One control replica: its log, its servers and its links."""

from __future__ import annotations

import ssl

import grpc
import trio

from borageward.clock import Clock
from borageward.control.service.leases import LeaseTable
from borageward.control.service.local import LocalReplica
from borageward.control.service.reads import Reader
from borageward.control.service.router import RequestRouter
from borageward.failures import Failure
from borageward.messages.control import ControlReply, ControlRequest
from borageward.settings import ControlSettings
from borageward.telemetry import EventLog
from borageward.transport import Address, FrameRpcServer, parse_address
from borageward.transport.grpc import GrpcServer


class ControlService:
    """Serves entries, operators and replicas by gRPC, guards by frames."""

    def __init__(
        self,
        settings: ControlSettings,
        clock: Clock,
        log: EventLog,
        tls: ssl.SSLContext | None = None,
        credentials: grpc.ServerCredentials | None = None,
        peer_credentials: grpc.ChannelCredentials | None = None,
    ) -> None:
        """Prepare a replica; ``tls`` is for frames, the rest for gRPC."""
        self._replica = LocalReplica(settings, clock)
        self._leases = LeaseTable(settings, self._replica, clock, log)
        reader = Reader(self._replica, self._leases, clock)
        self._router = RequestRouter(self._replica, self._leases, reader)
        self._grpc = GrpcServer(
            _address(settings.address),
            self._serve,
            ControlRequest,
            credentials,
        )
        self._frames = FrameRpcServer(
            _address(settings.member_address),
            self._serve,
            ControlRequest,
            tls,
        )
        self._scope = trio.CancelScope()

    @property
    def address(self) -> Address:
        """Return the gRPC address, with the port after ``start``."""
        return self._grpc.address

    @property
    def member_address(self) -> Address:
        """Return the frame address, with the port after ``start``."""
        return self._frames.address

    async def start(self, nursery: trio.Nursery) -> None:
        """Serve in the nursery; ``OSError`` when an address is taken."""
        await self._replica.start()
        await self._grpc.start()
        await self._frames.start(nursery)
        nursery.start_soon(self._run)

    async def close(self) -> None:
        """Stop serving."""
        await self._grpc.close()
        await self._frames.close()
        self._scope.cancel()

    async def _run(self) -> None:
        with self._scope:
            await self._leases.run()

    async def _serve(self, request: ControlRequest) -> ControlReply:
        return await self._router.serve(request)


def _address(text: str) -> Address:
    address = parse_address(text)
    if isinstance(address, Failure):
        raise ValueError(address.detail)
    return address
