"""Connections and remote calls between the processes of the system.

This package does not import ``borageward.transport.grpc``, because a guard
must not load grpcio. Import that module where gRPC is needed.
"""

from __future__ import annotations

from borageward.transport.address import (
    Address,
    parse_address,
    parse_peer_address,
)
from borageward.transport.codec import Codec
from borageward.transport.frames import FrameConnection, LinkClosed
from borageward.transport.listener import FrameListener
from borageward.transport.peer import Handler, Peer
from borageward.transport.rpc import FramePeer, FrameRpcServer

__all__ = (
    'Address',
    'Codec',
    'FrameConnection',
    'FrameListener',
    'FramePeer',
    'FrameRpcServer',
    'Handler',
    'LinkClosed',
    'Peer',
    'parse_address',
    'parse_peer_address',
)
