"""Requests and responses of the HTTP server, and its limits."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from borageward.clock import Milliseconds

_MAX_BODY_BYTES = 262_144
_REQUEST_TIMEOUT_MS = 3000.0
_IDLE_TIMEOUT_MS = 15_000.0


@attrs.frozen(slots=True)
class HttpRequest:
    """Request with its whole body; header names are in lower case."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes = b''

    @property
    def path(self) -> str:
        """Return the request target without the query string."""
        return self.target.partition('?')[0]

    @property
    def host(self) -> str:
        """Return the ``Host`` header in lower case, without the port."""
        return self.headers.get('host', '').partition(':')[0].lower()


@attrs.frozen(slots=True)
class HttpResponse:
    """Response; by default with an empty JSON object as its body."""

    status: int
    body: bytes = b'{}'
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = 'application/json'


@attrs.frozen(slots=True)
class HttpLimits:
    """Limits on the requests of a client.

    ``request_timeout_ms`` limits the time to receive the body once the head
    of a request has arrived, ``idle_timeout_ms`` the time to wait for the
    head.
    """

    max_body_bytes: int = _MAX_BODY_BYTES
    request_timeout_ms: Milliseconds = _REQUEST_TIMEOUT_MS
    idle_timeout_ms: Milliseconds = _IDLE_TIMEOUT_MS
