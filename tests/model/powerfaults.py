"""Faults of the power of hosts: guards alone, or all hosts at once."""

from __future__ import annotations

import trio

# Hosts start again this long after they have lost their power.
_SHORTEST_S = 0.3
_LONGEST_S = 1.4


class PowerFaults:
    """Ends guards and entries whose endpoints work on."""

    def __init__(self, entries, guards, network, monitor, rng):
        """Draw the hosts and durations from ``rng``."""
        self._entries = entries
        self._guards = guards
        self._network = network
        self._monitor = monitor
        self._rng = rng
        self.entry_kinds = (self._darken_all,)
        self.guard_kinds = (self._darken_guard, self._darken_guard)

    async def _darken_guard(self):
        guard = self._rng.choice(self._guards)
        await self._darken((guard,), ())

    async def _darken_all(self):
        await self._darken(self._guards, self._entries)

    async def _darken(self, guards, entries):
        """End processes without notice, and start them some time later."""
        guards = [guard for guard in guards if _is_alive(guard)]
        entries = [entry for entry in entries if _is_alive(entry)]
        names = ','.join(host.name for host in (*guards, *entries))
        self._monitor.record('fault', 'lose_power', {'hosts': names})
        for ended in guards:
            ended.process.end(dark=True)
        for dark in entries:
            dark.lose_power()
            dark.break_exchanges()
        async with trio.open_nursery() as nursery:
            for guard in guards:
                nursery.start_soon(self._start, guard, guard.start_guard)
            for entry in entries:
                nursery.start_soon(self._start, entry, entry.start_entry)

    async def _start(self, host, start):
        await trio.sleep(self._rng.uniform(_SHORTEST_S, _LONGEST_S))
        for peer in self._entries:
            for guard in self._guards:
                if host in {peer, guard}:
                    self._network.reset(peer.name, guard.name)
        start()


def _is_alive(host):
    return host.process is not None and host.process.alive
