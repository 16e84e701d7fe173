"""Digest by which repeated requests with the same body are recognised."""

from __future__ import annotations

import hashlib

_DIGEST_BYTES = 16


def body_digest(body: bytes) -> bytes:
    """Return the 16-byte BLAKE2b digest of a canonical request body."""
    return hashlib.blake2b(body, digest_size=_DIGEST_BYTES).digest()
