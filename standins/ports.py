"""Ports for processes that have to know each other's address in advance."""

from __future__ import annotations

import socket

_LOOPBACK = '127.0.0.1'


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses with ports that the system chose.

    All sockets stay open until the last port is chosen, so the ports differ.
    """
    sockets = [socket.socket() for _ in range(count)]
    try:
        return [_bind(opened) for opened in sockets]
    finally:
        for used in sockets:
            used.close()


def _bind(opened: socket.socket) -> str:
    opened.bind((_LOOPBACK, 0))
    port = opened.getsockname()[1]
    return f'{_LOOPBACK}:{port}'
