"""Frames that another writer has sent."""

from __future__ import annotations

import struct

import msgspec
import pytest
import trio
from hypothesis import given, settings, strategies

from borageward.failures import Failure, FailureReason
from borageward.messages.discovery import (
    AnnounceGuard,
    Announced,
    DiscoveryReply,
    DiscoveryRequest,
    GuardAddress,
)
from borageward.messages.runs import EntryMessage, GuardMessage
from borageward.transport import Address, Codec, FramePeer, FrameRpcServer

ANY_PORT = Address('127.0.0.1', 0)
ANNOUNCEMENT = AnnounceGuard(GuardAddress('h', '10.0.0.1:7', 'z'))
# An array of one element, 100,000 levels deep. As an element beyond the last
# field of a message it is skipped and not checked against a type.
DEEP = b''.join((b'\x91' * 100_000, b'\x00'))
UNIONS = (DiscoveryRequest, DiscoveryReply, EntryMessage, GuardMessage)


def deep_announcement():
    """Return an announcement with an unknown, deeply nested last field."""
    tag = msgspec.msgpack.encode('AnnounceGuard')
    guard = msgspec.msgpack.encode(ANNOUNCEMENT.guard)
    return b''.join((b'\x93', tag, guard, DEEP))


def frame(body):
    """Return the frame of a request with an encoded body."""
    envelope = msgspec.msgpack.encode((1, body))
    return b''.join((struct.pack('>I', len(envelope)), envelope))


@pytest.mark.parametrize(
    'body', [deep_announcement(), DEEP, b'', b'\xc1', b'\xdd\xff\xff\xff\xff']
)
def test_odd_message_is_a_failure(body):
    """Guards against an exception for a message that cannot be decoded.

    Deep nesting raises ``RecursionError``, which is no ``DecodeError``.
    """
    failure = Codec(DiscoveryRequest).decode(body)
    assert isinstance(failure, Failure)
    assert failure.reason is FailureReason.MALFORMED_MESSAGE


@pytest.mark.parametrize('body', [deep_announcement(), b'\xff\xfe'])
async def test_odd_request_ends_only_its_connection(nursery, body):
    """Guards against a server that ends by one odd request."""

    async def answer(_):
        return Announced(())

    server = FrameRpcServer(ANY_PORT, answer, DiscoveryRequest)
    await server.start(nursery)
    odd = await trio.open_tcp_stream('127.0.0.1', server.address.port)
    await odd.send_all(frame(body))
    with trio.fail_after(5):
        assert await odd.receive_some(1) == b''
    peer = FramePeer(server.address, DiscoveryReply, nursery)
    assert await peer.call(ANNOUNCEMENT, 5000) == Announced(())
    await peer.close()
    await server.close()


VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats()
    | strategies.text()
    | strategies.binary(),
    lambda inner: strategies.lists(inner),
    max_leaves=20,
)
TAGS = strategies.sampled_from(
    ('AnnounceGuard', 'ClusterView', 'StartRuns', 'SessionBeat', 'RunsEnded')
)


@settings(max_examples=500, derandomize=True, database=None)
@given(
    strategies.binary()
    | strategies.builds(
        lambda tag, fields: msgspec.msgpack.encode([tag, *fields]),
        TAGS,
        strategies.lists(VALUES),
    )
)
def test_any_bytes_are_a_message_or_a_failure(body):
    """Guards against an exception for bytes of another writer."""
    for union in UNIONS:
        message = Codec(union).decode(body)
        if isinstance(message, Failure):
            assert message.reason is FailureReason.MALFORMED_MESSAGE
        else:
            assert isinstance(message, msgspec.Struct)
