"""Construction of control clients over frames or gRPC."""

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
    """Return a client over frames, for entries and guards.

    The readers of its links run in the nursery. Without ``tls`` the links are
    not encrypted.
    """
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
    """Return a client over gRPC, for operators.

    Without ``credentials`` the links are not encrypted.
    """
    # Imported here because grpcio would exceed the memory limit of a guard.
    from borageward.transport.grpc import GrpcPeer  # noqa: WPS433

    peers = {
        str(address): GrpcPeer(address, ControlReply, credentials)
        for address in addresses
    }
    return ControlClient(peers, clock, random.Random())
