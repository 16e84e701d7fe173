"""Calls of the command line to control."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import aclosing, asynccontextmanager
from typing import TYPE_CHECKING, Any

import attrs

from borageward.cli.target import Target
from borageward.clock import Clock, Milliseconds, SystemClock
from borageward.configuration import Configuration, decode_configuration
from borageward.controlclient import ControlClient, open_grpc_client
from borageward.failures import Failure, FailureReason
from borageward.messages.control import (
    ConfigurationRead,
    ControlReply,
    ControlRequest,
    ControlStatus,
    Membership,
    ReadConfiguration,
    ReadControl,
    RevisionConflict,
    Watch,
)
from borageward.transport import Address

if TYPE_CHECKING:
    import grpc

_TIMEOUT_MS: Milliseconds = 5000


@attrs.frozen(slots=True)
class Revision:
    """Configuration of one revision."""

    number: int
    configuration: Configuration


class ControlCalls:
    """Typed calls to the leader of control."""

    def __init__(self, client: ControlClient, clock: Clock) -> None:
        """Use a client that finds the leader."""
        self._client = client
        self._clock = clock

    @property
    def clock(self) -> Clock:
        """Return the clock of the calls."""
        return self._clock

    async def call(
        self,
        request: ControlRequest,
        expected: type[Any],
    ) -> Any | Failure:
        """Return the reply of the expected type, or a failure."""
        reply = await self._client.call(request, _TIMEOUT_MS)
        if isinstance(reply, RevisionConflict):
            return conflict(reply)
        if isinstance(reply, Failure | expected):
            return reply
        return _unexpected(reply)

    async def read_revision(self, number: int = 0) -> Revision | Failure:
        """Return a revision; zero means the newest."""
        reply = await self.call(ReadConfiguration(number), ConfigurationRead)
        if isinstance(reply, Failure):
            return reply
        configuration = decode_configuration(reply.configuration)
        if isinstance(configuration, Failure):
            return configuration
        return Revision(reply.revision, configuration)

    async def read_members(self) -> Membership | Failure:
        """Return all members that control knows."""
        reply: Membership | Failure
        reply = await self.call(Watch(-1, 0), Membership)
        return reply


class _Closing:
    """Client as ``aclosing`` expects it."""

    def __init__(self, client: ControlClient) -> None:
        self._client = client

    async def aclose(self) -> None:
        """Close the client."""
        await self._client.close()


@asynccontextmanager
async def open_control(target: Target) -> AsyncIterator[ControlCalls]:
    """Open calls to control and close them at the end."""
    clock = SystemClock()
    credentials = _credentials(target)
    client = open_grpc_client(target.control, clock, credentials)
    async with aclosing(_Closing(client)):
        yield ControlCalls(client, clock)


async def read_replica(
    target: Target,
    address: Address,
) -> ControlStatus | Failure:
    """Return the state of one replica, which need not be the leader."""
    # grpcio loads slowly, which commands without control need not wait for.
    from borageward.transport.grpc import GrpcPeer  # noqa: WPS433

    peer = GrpcPeer(address, ControlReply, _credentials(target))
    reply = await peer.call(ReadControl(), _TIMEOUT_MS)
    await peer.close()
    if isinstance(reply, Failure | ControlStatus):
        return reply
    return _unexpected(reply)


def conflict(reply: RevisionConflict) -> Failure:
    """Return the failure that tells whose change was accepted."""
    return Failure(
        FailureReason.REVISION_CONFLICT,
        f'revision {reply.revision} by {reply.author} was accepted first '
        + f'({reply.reason!r}); plan again',
    )


def _credentials(target: Target) -> grpc.ChannelCredentials | None:
    if target.tls is None:
        return None
    from borageward.access.grpcfiles import (  # noqa: WPS433
        channel_credentials,
    )

    return channel_credentials(target.tls)


def _unexpected(reply: object) -> Failure:
    name = type(reply).__name__
    return Failure(FailureReason.MALFORMED_MESSAGE, f'unexpected reply {name}')
