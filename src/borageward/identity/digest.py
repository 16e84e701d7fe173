"""Digest of a request body."""

from __future__ import annotations

import hashlib

_DIGEST_BYTES = 16


def body_digest(body: bytes) -> bytes:
    """Return the 16-byte digest of a canonical request body."""
    return hashlib.blake2b(body, digest_size=_DIGEST_BYTES).digest()
