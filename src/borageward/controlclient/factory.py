"""Opening of control clients over either transport."""

from __future__ import annotations

import random
import ssl
from collections.abc import Iterable
from typing import TYPE_CHECKING

import trio

from borageward.clock import Clock
from borageward.controlclient.client import ControlClient
from borageward.messages.control import ControlReply
from borageward.transport import Address, FramePeer

if TYPE_CHECKING:
    import grpc


def open_frame_client(
    addresses: Iterable[Address],
    clock: Clock,
    nursery: trio.Nursery,
    tls: ssl.SSLContext | None = None,
) -> ControlClient:
    """Return a client over frames, for processes beside an endpoint."""
    peers = {
        str(address): FramePeer(address, ControlReply, nursery, tls)
        for address in addresses
    }
    return ControlClient(peers, clock, random.Random())


def open_grpc_client(
    addresses: Iterable[Address],
    clock: Clock,
    credentials: grpc.ChannelCredentials | None = None,
) -> ControlClient:
    """Return a client over gRPC, for entries and operators."""
    # A guard must not load grpcio, which exceeds its memory limit.
    from borageward.transport.grpc import GrpcPeer  # noqa: WPS433

    peers = {
        str(address): GrpcPeer(address, ControlReply, credentials)
        for address in addresses
    }
    return ControlClient(peers, clock, random.Random())
