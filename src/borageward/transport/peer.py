"""Interface for calls to another process, independent of the transport."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeAlias

from borageward.clock import Milliseconds
from borageward.failures import Failure

# Returns the reply to one request; failures are sent as ``Rejected`` replies.
Handler: TypeAlias = Callable[[Any], Awaitable[Any]]


class Peer(Protocol):
    """Client of another process that replies to requests."""

    async def call(
        self,
        request: Any,
        timeout_ms: Milliseconds,
    ) -> Any | Failure:
        """Send a request and return the reply, or a failure.

        The failure is ``TIMEOUT`` when there is no reply within
        ``timeout_ms``, ``LINK_BROKEN`` when the connection fails, or
        ``MALFORMED_MESSAGE`` when the reply cannot be decoded. After any of
        them the request may have taken effect.
        """

    async def close(self) -> None:
        """Close the connections to the process."""
