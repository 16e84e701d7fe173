"""Messages as length-prefixed frames on a byte stream."""

from __future__ import annotations

import struct
from collections.abc import Iterable
from typing import Any, Generic, TypeVar

import trio

from borageward.failures import Failure, FailureReason
from borageward.transport.codec import Codec

MAX_FRAME_BYTES = 16_777_216

_LENGTH_PREFIX = struct.Struct('>I')
_READ_BYTES = 65_536

ReceivedT = TypeVar('ReceivedT')


class LinkClosed(Exception):
    """The connection is broken or was closed by either side."""


class FrameConnection(Generic[ReceivedT]):
    """Bidirectional message connection over a trio stream.

    Several tasks may send at the same time, but only one task may receive.
    Sending and receiving raise ``LinkClosed`` once the stream is broken or
    closed. ``bytes_sent`` and ``bytes_received`` count the bytes of all frames
    including their length prefixes.
    """

    def __init__(self, stream: trio.abc.Stream, message_type: Any) -> None:
        """Wrap a stream that carries messages of a type or union of types."""
        self._stream = stream
        self._codec: Codec[ReceivedT] = Codec(message_type)
        self._buffer = bytearray()
        self._outgoing = bytearray()
        self._send_lock = trio.Lock()
        self.bytes_sent = 0
        self.bytes_received = 0

    @property
    def stream(self) -> trio.abc.Stream:
        """Return the underlying stream."""
        return self._stream

    async def send(self, message: Any) -> None:
        """Send one message.

        Messages that are queued while another task is writing are sent
        together in the next write.
        """
        await self.send_all((message,))

    async def send_all(self, messages: Iterable[Any]) -> None:
        """Send several messages in one write."""
        for message in messages:
            frame = self._codec.encode(message)
            self._outgoing += _LENGTH_PREFIX.pack(len(frame))
            self._outgoing += frame
        async with self._send_lock:
            await self._write_outgoing()

    async def receive(self) -> ReceivedT | Failure:
        """Return the next message, or ``MALFORMED_MESSAGE``.

        Raises ``LinkClosed`` at the end of the stream and for a frame longer
        than ``MAX_FRAME_BYTES``.
        """
        while True:
            frame = self._pop_frame()
            if frame is not None:
                return self._codec.decode(frame)
            await self._read_chunk()

    async def close(self) -> None:
        """Close the stream without waiting for unsent data."""
        await trio.aclose_forcefully(self._stream)

    async def _write_outgoing(self) -> None:
        if not self._outgoing:
            return
        pending = bytes(self._outgoing)
        self._outgoing.clear()
        try:
            await self._stream.send_all(pending)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise LinkClosed from error
        self.bytes_sent += len(pending)

    async def _read_chunk(self) -> None:
        try:
            chunk = await self._stream.receive_some(_READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise LinkClosed from error
        if not chunk:
            raise LinkClosed
        self.bytes_received += len(chunk)
        self._buffer += chunk

    def _pop_frame(self) -> bytes | None:
        if len(self._buffer) < _LENGTH_PREFIX.size:
            return None
        length = _LENGTH_PREFIX.unpack_from(self._buffer)[0]
        if length > MAX_FRAME_BYTES:
            raise LinkClosed
        end = _LENGTH_PREFIX.size + length
        if len(self._buffer) < end:
            return None
        frame = bytes(self._buffer[_LENGTH_PREFIX.size : end])
        self._buffer = self._buffer[end:]
        return frame


def broken_link(detail: str) -> Failure:
    """Return a ``LINK_BROKEN`` failure."""
    return Failure(FailureReason.LINK_BROKEN, detail)
