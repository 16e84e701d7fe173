"""Faults of endpoints that are mute, hang, are unhealthy or answer slowly."""

from __future__ import annotations

import trio

_CALL_KINDS = ('start', 'stop', 'hold', 'read')


class EndpointFaults:
    """Impairs endpoints whose guards and hosts are well."""

    def __init__(self, guards, monitor, rng):
        """Draw the endpoints and durations from ``rng``."""
        self._guards = guards
        self._monitor = monitor
        self._rng = rng
        self.kinds = (
            self._mute,
            self._mute,
            self._hang,
            self._refuse,
            self._overtake,
            self._overtake,
        )

    async def _mute(self):
        """Carry out calls but answer none."""
        endpoint = self._pick('mute')
        endpoint.late = frozenset(_CALL_KINDS)
        endpoint.late_share = 1.0
        endpoint.applied_share = 1.0
        endpoint.applies_at_once = True
        await self._wait()
        endpoint.late = frozenset()

    async def _hang(self):
        """Let runs start that make no progress and stop late."""
        endpoint = self._pick('hang')
        endpoint.hanging = True
        await self._wait()
        endpoint.hanging = False

    async def _refuse(self):
        """Answer starts with 429 or 503; these have no effect."""
        endpoint = self._pick('refuse')
        endpoint.refused_share = self._rng.choice((0.5, 1))
        await self._wait()
        endpoint.refused_share = 0

    async def _overtake(self):
        """Let replies of concurrent calls overtake each other."""
        endpoint = self._pick('overtake')
        endpoint.reply_delay_s = self._rng.choice((0.02, 0.08, 0.2))
        await self._wait()
        endpoint.reply_delay_s = 0

    def _pick(self, fault):
        endpoint = self._rng.choice(self._guards).endpoint
        self._monitor.record('fault', fault, {'endpoint': endpoint.name})
        return endpoint

    async def _wait(self):
        await trio.sleep(self._rng.uniform(0.3, 4))
