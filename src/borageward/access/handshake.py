"""Check of a certificate against its authority by an in-memory handshake.

It detects a certificate that has expired, is not valid yet, or was signed by
another authority, before a connection to another process fails because of it.
"""

from __future__ import annotations

import ssl

_MAX_ROUNDS = 10


def check_handshake(
    server: ssl.SSLContext,
    client: ssl.SSLContext,
) -> None:
    """Run a TLS handshake between two contexts in memory.

    Raises ``ssl.SSLError`` when either side rejects the other's certificate.
    """
    to_server, to_client = ssl.MemoryBIO(), ssl.MemoryBIO()
    ends = (
        client.wrap_bio(to_client, to_server),
        server.wrap_bio(to_server, to_client, server_side=True),
    )
    finished = [False, False]
    for _ in range(_MAX_ROUNDS):
        for index, end in enumerate(ends):
            finished[index] = finished[index] or _advance_handshake(end)
    if not all(finished):
        raise ssl.SSLError('TLS handshake did not complete')


def _advance_handshake(end: ssl.SSLObject) -> bool:
    try:
        end.do_handshake()
    except ssl.SSLWantReadError:
        return False
    return True
