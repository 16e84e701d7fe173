"""Links between the processes of the system.

``grpc`` transports stay out of this package's imports, because a guard must
not load grpcio; import ``borageward.transport.grpc`` where it is needed.
"""

from __future__ import annotations

from borageward.transport.address import Address, parse_address
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
)
