"""msgpack encoding of messages."""

from __future__ import annotations

from typing import Any, Generic, TypeVar

import msgspec

from borageward.failures import Failure, FailureReason

MessageT = TypeVar('MessageT')


class Codec(Generic[MessageT]):
    """msgpack codec that decodes one union of message types."""

    def __init__(self, union: Any) -> None:
        """Prepare to decode messages of a type or a union of types."""
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(union)

    def encode(self, message: Any) -> bytes:
        """Return the msgpack encoding of a message of any type."""
        return self._encoder.encode(message)

    def decode(self, frame: bytes) -> MessageT | Failure:
        """Decode a message.

        Returns ``MALFORMED_MESSAGE`` when the bytes are not msgpack, do not
        match the union or are nested too deeply.
        """
        try:
            return self._decoder.decode(frame)
        except (
            msgspec.DecodeError,
            UnicodeDecodeError,
            RecursionError,
        ) as error:
            return Failure(FailureReason.MALFORMED_MESSAGE, str(error))
