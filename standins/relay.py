"""TCP relay on loopback that can block traffic in one or both directions."""

from __future__ import annotations

import socket
import threading

_CHUNK_BYTES = 65_536
_POLL_S = 0.02


class Relay:
    """Forwards connections to a target and simulates network partitions.

    A blocked direction keeps its connections open and forwards nothing, as in
    a partition that drops packets. Bytes received meanwhile are held back and
    forwarded after ``restore``.
    """

    def __init__(self, target: str) -> None:
        """Listen on a free port; ``target`` is an address ``host:port``."""
        host, _separator, port = target.rpartition(':')
        self._target = (host, int(port))
        self._forward = threading.Event()
        self._backward = threading.Event()
        self._closed = threading.Event()
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._listener.settimeout(_POLL_S)

    @property
    def address(self) -> str:
        """Return the listening address as ``host:port``."""
        host, port = self._listener.getsockname()
        return f'{host}:{port}'

    def start(self) -> None:
        """Start to accept connections and to forward in both directions."""
        self.restore()
        threading.Thread(target=self._accept, daemon=True).start()

    def block(self, forward: bool = True, backward: bool = True) -> None:
        """Stop forwarding to the target, back from the target, or both."""
        if forward:
            self._forward.clear()
        if backward:
            self._backward.clear()

    def restore(self) -> None:
        """Resume forwarding in both directions."""
        self._forward.set()
        self._backward.set()

    def close(self) -> None:
        """Stop listening; connections close once their next bytes arrive."""
        self._closed.set()
        self.restore()
        self._listener.close()

    def _accept(self) -> None:
        while not self._closed.is_set():
            try:
                caller, _address = self._listener.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            self._connect(caller)

    def _connect(self, caller: socket.socket) -> None:
        try:
            target = socket.create_connection(self._target)
        except OSError:
            caller.close()
            return
        pairs = (
            (caller, target, self._forward),
            (target, caller, self._backward),
        )
        for pair in pairs:
            threading.Thread(target=self._copy, args=pair, daemon=True).start()

    def _copy(
        self,
        source: socket.socket,
        sink: socket.socket,
        allowed: threading.Event,
    ) -> None:
        try:
            while not self._closed.is_set():
                chunk = source.recv(_CHUNK_BYTES)
                allowed.wait()
                if not chunk:
                    break
                sink.sendall(chunk)
        except OSError:
            return
        finally:
            source.close()
            sink.close()
