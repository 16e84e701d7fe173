"""Calls to another process, whatever carries them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeAlias

from borageward.clock import Milliseconds
from borageward.failures import Failure

# Serves one request; failures travel as ``Rejected`` replies.
Handler: TypeAlias = Callable[[Any], Awaitable[Any]]


class Peer(Protocol):
    """Another process that answers requests."""

    async def call(
        self,
        request: Any,
        timeout_ms: Milliseconds,
    ) -> Any | Failure:
        """Return the reply, or ``TIMEOUT`` or ``LINK_BROKEN``.

        After either failure the request may have taken effect.
        """

    async def close(self) -> None:
        """Close the links to the process."""
