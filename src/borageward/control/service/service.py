"""One control replica with its log, its servers and its links."""

from __future__ import annotations

import pathlib
import ssl

import grpc
import trio

from borageward.clock import Clock
from borageward.control.consensus import Node
from borageward.control.service.leases import LeaseTable
from borageward.control.service.options import node_options, peer_factory
from borageward.control.service.reads import Reader
from borageward.control.service.router import RequestRouter
from borageward.control.storage import FileDisk
from borageward.failures import Failure, FailureReason
from borageward.messages.base import Rejected
from borageward.messages.consensus import ConsensusReply, ConsensusRequest
from borageward.messages.control import ControlReply, ControlRequest
from borageward.settings import ControlSettings
from borageward.telemetry import EventLog
from borageward.transport import Address, FrameRpcServer, parse_address
from borageward.transport.grpc import GrpcServer


class ControlService:
    """Serves operators and replicas over gRPC, entries and guards over frames.

    Both servers accept every control request.
    """

    def __init__(
        self,
        settings: ControlSettings,
        clock: Clock,
        log: EventLog,
        tls: ssl.SSLContext | None = None,
        credentials: grpc.ServerCredentials | None = None,
        peer_credentials: grpc.ChannelCredentials | None = None,
    ) -> None:
        """Create a replica.

        ``tls`` secures the frame server, ``credentials`` the gRPC server and
        ``peer_credentials`` the gRPC links to other replicas. Raises
        ``ValueError`` for an invalid address in the settings.
        """
        options = node_options(
            settings,
            clock,
            log,
            peer_factory(peer_credentials),
        )
        self._node = Node(options, FileDisk(pathlib.Path(settings.data_folder)))
        self._leases = LeaseTable(settings, self._node, clock, log)
        reader = Reader(self._node, self._leases, clock)
        self._router = RequestRouter(self._node, self._leases, reader)
        self._grpc = GrpcServer(
            _address(settings.address),
            self._serve_grpc,
            ControlRequest | ConsensusRequest,
            credentials,
        )
        self._frames = FrameRpcServer(
            _address(settings.member_address),
            self._serve_frame,
            ControlRequest,
            tls,
        )
        self._scope = trio.CancelScope()

    @property
    def address(self) -> Address:
        """Return the gRPC address; its port is known after ``start``."""
        return self._grpc.address

    @property
    def member_address(self) -> Address:
        """Return the frame address; its port is known after ``start``."""
        return self._frames.address

    async def start(self, nursery: trio.Nursery) -> None:
        """Open the log and serve in the nursery.

        Raises ``OSError`` when an address is in use. Raises ``StorageError``,
        here or later in the nursery, when the disk failed or its files are
        inconsistent.
        """
        await self._node.open()
        await self._grpc.start()
        await self._frames.start(nursery)
        nursery.start_soon(self._run)

    async def close(self) -> None:
        """Stop the servers and the replica, and close its links."""
        await self._grpc.close()
        await self._frames.close()
        self._scope.cancel()
        await self._node.close()

    async def _run(self) -> None:
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._leases.run)
                nursery.start_soon(self._node.run)

    async def _serve_grpc(
        self,
        request: ControlRequest | ConsensusRequest,
    ) -> ControlReply | ConsensusReply:
        if isinstance(request, ConsensusRequest):
            return await self._node.serve(request)
        reply = await self._router.serve(request)
        return _with_leader_address(reply, self._leader_address())

    async def _serve_frame(self, request: ControlRequest) -> ControlReply:
        reply = await self._router.serve(request)
        return _with_leader_address(reply, self._leader_member_address())

    def _leader_address(self) -> str:
        leader = self._node.leader
        return '' if leader is None else leader.address

    def _leader_member_address(self) -> str:
        leader = self._node.leader
        return '' if leader is None else leader.member_address


def _with_leader_address(
    reply: ControlReply,
    leader_address: str,
) -> ControlReply:
    """Put the leader's address into the detail of a ``NOT_LEADER`` reply.

    The log names the leader by its voter id, which a client cannot call.
    """
    if not isinstance(reply, Rejected):
        return reply
    if reply.reason is not FailureReason.NOT_LEADER:
        return reply
    return Rejected(reply.reason, leader_address, reply.run_state)


def _address(text: str) -> Address:
    address = parse_address(text)
    if isinstance(address, Failure):
        raise ValueError(address.detail)
    return address
