"""Ports for processes that have to know each other's address in advance."""

from __future__ import annotations

import contextlib
import random
import socket

_LOOPBACK = '127.0.0.1'
# Below the range from which the system takes the ports of outgoing
# connections: a port chosen there was now and then taken by a connection of
# another process before its owner could listen on it.
_PORTS = range(15_000, 32_000)


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses whose ports are free now, all different.

    All sockets stay open until the last port is chosen.
    """
    with contextlib.ExitStack() as stack:
        return [_bind_free(stack) for _ in range(count)]


def _bind_free(stack: contextlib.ExitStack) -> str:
    while True:
        opened = stack.enter_context(socket.socket())
        port = random.choice(_PORTS)
        with contextlib.suppress(OSError):
            opened.bind((_LOOPBACK, port))
            return f'{_LOOPBACK}:{port}'
