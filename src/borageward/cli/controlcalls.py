"""Calls from the command line to control."""

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

_CALL_TIMEOUT_MS: Milliseconds = 5000


@attrs.frozen(slots=True)
class Revision:
    """Configuration as of one revision, with the revision's number."""

    number: int
    configuration: Configuration


class ControlCalls:
    """Calls to the leader of control with typed replies."""

    def __init__(self, client: ControlClient, clock: Clock) -> None:
        """Send calls through a client that finds the leader."""
        self._client = client
        self._clock = clock

    @property
    def clock(self) -> Clock:
        """Return the clock for ages and timeouts."""
        return self._clock

    async def call(
        self,
        request: ControlRequest,
        expected: type[Any],
    ) -> Any | Failure:
        """Return the reply to a request if it has the expected type.

        Returns ``REVISION_CONFLICT`` if another change was accepted first,
        ``MALFORMED_MESSAGE`` for a reply of another type, and otherwise the
        failure of the client.
        """
        reply = await self._client.call(request, _CALL_TIMEOUT_MS)
        if isinstance(reply, RevisionConflict):
            return conflict_failure(reply)
        if isinstance(reply, Failure | expected):
            return reply
        return _unexpected_reply(reply)

    async def read_revision(self, number: int = 0) -> Revision | Failure:
        """Return the revision with this number; 0 means the newest."""
        reply = await self.call(ReadConfiguration(number), ConfigurationRead)
        if isinstance(reply, Failure):
            return reply
        configuration = decode_configuration(reply.configuration)
        if isinstance(configuration, Failure):
            return configuration
        return Revision(reply.revision, configuration)

    async def read_members(self) -> Membership | Failure:
        """Return all guards and entries that control knows."""
        reply: Membership | Failure
        reply = await self.call(Watch(-1, 0), Membership)
        return reply


class _ClosableClient:
    """Adapter that gives a client the ``aclose`` method for ``aclosing``."""

    def __init__(self, client: ControlClient) -> None:
        self._client = client

    async def aclose(self) -> None:
        """Close the client's links."""
        await self._client.close()


@asynccontextmanager
async def open_control(target: Target) -> AsyncIterator[ControlCalls]:
    """Connect to control for the length of a ``with`` block."""
    clock = SystemClock()
    credentials = _credentials(target)
    client = open_grpc_client(target.control, clock, credentials)
    async with aclosing(_ClosableClient(client)):
        yield ControlCalls(client, clock)


async def read_replica(
    target: Target,
    address: Address,
) -> ControlStatus | Failure:
    """Return the state of one replica, whether or not it is the leader."""
    # grpcio is slow to import, so commands that do not call control skip it.
    from borageward.transport.grpc import GrpcPeer  # noqa: WPS433

    peer = GrpcPeer(address, ControlReply, _credentials(target))
    reply = await peer.call(ReadControl(), _CALL_TIMEOUT_MS)
    await peer.close()
    if isinstance(reply, Failure | ControlStatus):
        return reply
    return _unexpected_reply(reply)


def conflict_failure(reply: RevisionConflict) -> Failure:
    """Return the failure that names the author of the accepted change."""
    return Failure(
        FailureReason.REVISION_CONFLICT,
        f'revision {reply.revision} by {reply.author} was accepted first '
        + f'(reason: {reply.reason!r}); make a new plan',
    )


def _credentials(target: Target) -> grpc.ChannelCredentials | None:
    if target.tls is None:
        return None
    from borageward.access.grpcfiles import (  # noqa: WPS433
        channel_credentials,
    )

    return channel_credentials(target.tls)


def _unexpected_reply(reply: object) -> Failure:
    name = type(reply).__name__
    return Failure(
        FailureReason.MALFORMED_MESSAGE,
        f'unexpected reply type {name}',
    )
