"""Reads request bodies within limits of size, memory and time."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from typing import Any

import trio

from borageward.failures import Failure, FailureReason

# Total size of the bodies of all requests in progress.
MAX_HELD_BYTES = 268_435_456
# Limits how long a slow caller occupies memory for its body.
BODY_TIMEOUT_S = 10.0


class BodyReader:
    """Reads request bodies and limits the memory of all of them together."""

    def __init__(self) -> None:
        """Prepare a reader that holds no body."""
        self._held_bytes = 0

    @asynccontextmanager
    async def read(
        self,
        scope: Any,
        receive: Callable[[], Awaitable[Any]],
        limit: int,
    ) -> AsyncIterator[bytes | Failure]:
        """Yield a body of at most ``limit`` bytes, or why it was refused.

        The failure is ``BODY_TOO_LARGE``, ``OVERLOADED`` when the bodies in
        progress exceed ``MAX_HELD_BYTES``, or ``INVALID_REQUEST`` when the
        caller disconnects or takes longer than ``BODY_TIMEOUT_S``. The size
        of the body counts as held until the block ends.
        """
        chunks: list[bytes] = []
        try:
            yield await self._read(scope, receive, limit, chunks)
        finally:
            self._held_bytes -= sum(map(len, chunks))

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
            return await self._receive_chunks(receive, limit, chunks)
        return _invalid('the body did not arrive within the time limit')

    async def _receive_chunks(
        self,
        receive: Callable[[], Awaitable[Any]],
        limit: int,
        chunks: list[bytes],
    ) -> bytes | Failure:
        size = 0
        while True:
            event = await receive()
            if event['type'] != 'http.request':
                return _invalid('the caller disconnected before the body ended')
            chunk = event.get('body', b'')
            size += len(chunk)
            if size > limit:
                return _too_large(limit)
            if self._held_bytes + len(chunk) > MAX_HELD_BYTES:
                return Failure(
                    FailureReason.OVERLOADED,
                    'the bodies in progress use all memory set aside for them',
                )
            self._held_bytes += len(chunk)
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
