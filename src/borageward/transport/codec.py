"""Encoding of messages."""

from __future__ import annotations

from typing import Any, Generic, TypeVar

import msgspec

from borageward.failures import Failure, FailureReason

MessageT = TypeVar('MessageT')


class Codec(Generic[MessageT]):
    """msgpack codec for one union of messages."""

    def __init__(self, union: Any) -> None:
        """Prepare the codec for a type or a union of types."""
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(union)

    def encode(self, message: Any) -> bytes:
        """Return the bytes of a message."""
        return self._encoder.encode(message)

    def decode(self, frame: bytes) -> MessageT | Failure:
        """Return the message, or ``MALFORMED_MESSAGE``."""
        try:
            return self._decoder.decode(frame)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return Failure(FailureReason.MALFORMED_MESSAGE, str(error))
