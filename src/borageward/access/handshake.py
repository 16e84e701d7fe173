"""Handshake in memory that checks a TLS identity against its authority.

It finds a certificate that has expired, is not valid yet, or was signed by
another authority, before a peer does.
"""

from __future__ import annotations

import ssl

_MAX_ROUNDS = 10


def check_handshake(
    server: ssl.SSLContext,
    client: ssl.SSLContext,
) -> None:
    """Connect two contexts; raises ``ssl.SSLError`` when either refuses."""
    to_server, to_client = ssl.MemoryBIO(), ssl.MemoryBIO()
    ends = (
        client.wrap_bio(to_client, to_server),
        server.wrap_bio(to_server, to_client, server_side=True),
    )
    finished = [False, False]
    for _ in range(_MAX_ROUNDS):
        for position, end in enumerate(ends):
            finished[position] = finished[position] or _advance(end)
    if not all(finished):
        raise ssl.SSLError('handshake did not finish')


def _advance(end: ssl.SSLObject) -> bool:
    try:
        end.do_handshake()
    except ssl.SSLWantReadError:
        return False
    return True
