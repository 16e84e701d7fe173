"""Allocation of ports before the processes that listen on them start.

The processes of a deployment need each other's addresses in their settings.
"""

from __future__ import annotations

import contextlib
import random
import socket

_LOOPBACK = '127.0.0.1'
# Below the ephemeral range of the system. From that range, an outgoing
# connection of another process sometimes took a port before its owner could
# listen on it.
_PORTS = range(15_000, 32_000)

_allocated_ports: set[int] = set()


def free_addresses(count: int) -> list[str]:
    """Return distinct loopback addresses whose ports are free now.

    All sockets stay bound until the last port is chosen. A port is returned
    only once in the life of the process, because its owner may not listen on
    it yet at the next call.
    """
    with contextlib.ExitStack() as stack:
        return [_bind_unused_port(stack) for _ in range(count)]


def _bind_unused_port(stack: contextlib.ExitStack) -> str:
    while True:
        unused_socket = stack.enter_context(socket.socket())
        port = random.choice(_PORTS)
        if port in _allocated_ports:
            continue
        with contextlib.suppress(OSError):
            unused_socket.bind((_LOOPBACK, port))
            _allocated_ports.add(port)
            return f'{_LOOPBACK}:{port}'
