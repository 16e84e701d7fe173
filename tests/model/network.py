"""Network of the model: delays, cuts and resets between two processes."""

from __future__ import annotations

import collections

import trio

# One-way delay of a message on an undisturbed path.
_MIN_DELAY_S = 0.0005
_MAX_DELAY_S = 0.003
# TCP sends again what a cut has held back within these times after its end.
_RETRANSMIT_S = (0, 0.25)


class Pipe:
    """One direction of a connection; delivers in order."""

    def __init__(self, network, path, rng):
        """Carry chunks along ``path``, the names of sender and receiver."""
        self.path = path
        self.broken = False
        # What is sent from now on is lost, and nobody learns of it.
        self.silent = False
        self.changed = trio.Event()
        self._network = network
        self._rng = rng
        self._chunks = collections.deque()
        self._last_at: float = 0

    def put(self, chunk):
        """Send a chunk, or the end of the stream as an empty one."""
        delay_s = self._rng.uniform(_MIN_DELAY_S, _MAX_DELAY_S)
        delay_s += self._rng.uniform(0, self._network.extra_delay_s(self.path))
        self._last_at = max(self._last_at, trio.current_time() + delay_s)
        self._chunks.append((self._last_at, chunk))
        self.notify()

    def break_now(self):
        """Break the direction at the receiver."""
        self.broken = True
        self.notify()

    def resume(self):
        """Deliver what a cut has held back after a retransmission."""
        self._last_at = trio.current_time()
        self._last_at += self._rng.uniform(*self._network.retransmit_s)
        self._chunks = collections.deque(
            (max(at, self._last_at), chunk) for at, chunk in self._chunks
        )
        self.notify()

    def notify(self):
        """Wake the receiver."""
        self.changed.set()
        self.changed = trio.Event()

    async def take(self):
        """Return the next chunk, empty at the end of the stream."""
        while True:
            if self.broken:
                raise trio.BrokenResourceError
            wait_s = self._wait_s()
            if wait_s <= 0:
                return self._take_ready()
            with trio.move_on_after(wait_s):
                await self.changed.wait()

    def _wait_s(self):
        if self.silent or not self._chunks or self._network.is_cut(self.path):
            return float('inf')
        return self._chunks[0][0] - trio.current_time()

    def _take_ready(self):
        chunk = self._chunks[0][1]
        if chunk:
            self._chunks.popleft()
        return chunk


class ModelStream(trio.abc.Stream):
    """One end of a connection, used by one process."""

    def __init__(self, process, inbound, outbound):
        """Receive from one pipe and send on the other."""
        self._process = process
        self._inbound = inbound
        self._outbound = outbound
        self._closed = False

    async def send_all(self, data):
        """Send data; what a process without power sends is dropped."""
        await self._process.gate()
        await trio.lowlevel.checkpoint()
        if self._closed:
            raise trio.ClosedResourceError
        if self._inbound.broken:
            raise trio.BrokenResourceError
        if not self._process.dark:
            self._outbound.put(bytes(data))

    async def wait_send_all_might_not_block(self):
        """Return at once, as there is no limit."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes=None):
        """Return the next chunk."""
        await trio.lowlevel.checkpoint()
        chunk = await self._inbound.take()
        await self._process.gate()
        if self._closed:
            raise trio.ClosedResourceError
        return chunk

    def close_now(self):
        """Close the stream; the peer learns of it unless the host is dark."""
        if self._closed:
            return
        self._closed = True
        self._inbound.break_now()
        if not self._process.dark:
            self._outbound.put(b'')

    async def aclose(self):
        """Close the stream."""
        self.close_now()
        await trio.lowlevel.checkpoint()


class Network:
    """Connections between entries and guards, and their faults."""

    def __init__(self, make_rng):
        """Draw delays from generators that ``make_rng`` makes for names."""
        self._make_rng = make_rng
        self._cuts = collections.Counter()
        self._extra_s = {}
        self._pipes = []
        self._connections = 0
        self._changed = trio.Event()
        self.retransmit_s = _RETRANSMIT_S
        # Hosts by name; a host has ``process`` and ``accept``.
        self.hosts = {}

    def is_cut(self, path):
        """Return whether nothing passes along a path."""
        return self._cuts[path] > 0

    def extra_delay_s(self, path):
        """Return the longest additional delay of a path."""
        return self._extra_s.get(path, 0)

    def cut(self, path):
        """Hold back what is sent along a path."""
        self._cuts[path] += 1

    def heal(self, path):
        """End one cut of a path."""
        self._cuts[path] -= 1
        if self.is_cut(path):
            return
        for pipe in self._between(path):
            pipe.resume()
        self._changed.set()
        self._changed = trio.Event()

    def slow_down(self, path, extra_s):
        """Set the longest additional delay of a path."""
        self._extra_s[path] = extra_s

    def reset(self, source, target):
        """Break all connections between two hosts at both ends."""
        for path in ((source, target), (target, source)):
            for pipe in self._between(path):
                pipe.break_now()

    def silence(self):
        """Let all open connections carry nothing any more, without a reset."""
        for pipe in self._pipes:
            pipe.silent = True

    async def connect(self, source, target):
        """Open a connection; raise ``OSError`` if nobody listens."""
        client = self.hosts[source].process
        await client.gate()
        paths = ((source, target), (target, source))
        while any(self.is_cut(path) for path in paths):
            await self._changed.wait()
        self._connections += 1
        rng = self._make_rng(f'{source}/{target}/{self._connections}')
        await trio.sleep(rng.uniform(2 * _MIN_DELAY_S, 2 * _MAX_DELAY_S))
        server = self.hosts[target].process
        if server.dark:
            await trio.sleep_forever()
        if not server.alive:
            raise ConnectionRefusedError(target)
        forth, back = (Pipe(self, path, rng) for path in paths)
        self._pipes = [pipe for pipe in self._pipes if not pipe.broken]
        self._pipes.extend((forth, back))
        self.hosts[target].accept(ModelStream(server, forth, back))
        await client.gate()
        return ModelStream(client, back, forth)

    def _between(self, path):
        return [pipe for pipe in self._pipes if pipe.path == path]
