"""Reading of request bodies within bounds of size, memory and time."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from typing import Any

import trio

from borageward.failures import Failure, FailureReason

# Bodies of all requests in progress together.
MAX_HELD_BYTES = 268_435_456
# A slow caller may hold memory no longer than this.
BODY_TIMEOUT_S = 10.0


class BodyReader:
    """Reads bodies; the memory of all of them together is bounded."""

    def __init__(self) -> None:
        """Prepare a reader without bodies."""
        self._held = 0

    @asynccontextmanager
    async def read(
        self,
        scope: Any,
        receive: Callable[[], Awaitable[Any]],
        limit: int,
    ) -> AsyncIterator[bytes | Failure]:
        """Read one body; its memory counts until the block ends."""
        chunks: list[bytes] = []
        try:
            yield await self._read(scope, receive, limit, chunks)
        finally:
            self._held -= sum(map(len, chunks))

    async def _read(
        self,
        scope: Any,
        receive: Callable[[], Awaitable[Any]],
        limit: int,
        chunks: list[bytes],
    ) -> bytes | Failure:
        declared = _content_length(scope['headers'])
        if declared is not None and declared > limit:
            return _too_large(limit)
        with trio.move_on_after(BODY_TIMEOUT_S):
            return await self._collect(receive, limit, chunks)
        return _invalid('the body did not arrive in time')

    async def _collect(
        self,
        receive: Callable[[], Awaitable[Any]],
        limit: int,
        chunks: list[bytes],
    ) -> bytes | Failure:
        size = 0
        while True:
            event = await receive()
            if event['type'] != 'http.request':
                return _invalid('the caller disconnected')
            chunk = event.get('body', b'')
            size += len(chunk)
            if size > limit:
                return _too_large(limit)
            if self._held + len(chunk) > MAX_HELD_BYTES:
                return Failure(FailureReason.OVERLOADED, 'too many bodies')
            self._held += len(chunk)
            chunks.append(chunk)
            if not event.get('more_body', False):
                return b''.join(chunks)


def _content_length(headers: Iterable[tuple[bytes, bytes]]) -> int | None:
    for name, text in headers:
        if name.lower() == b'content-length' and text.isdigit():
            return int(text)
    return None


def _too_large(limit: int) -> Failure:
    return Failure(
        FailureReason.BODY_TOO_LARGE,
        f'the body is larger than {limit} bytes',
    )


def _invalid(detail: str) -> Failure:
    return Failure(FailureReason.INVALID_REQUEST, detail)
