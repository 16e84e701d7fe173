"""Guards that announce themselves to this replica."""

from __future__ import annotations

import random

import attrs

from borageward.clock import Clock, Milliseconds
from borageward.discovery import find_guard_problem
from borageward.messages.discovery import GuardAddress
from borageward.telemetry import EventLog

# Four announcements in a row may be lost before a guard is removed. Entries
# keep their links to it in the meantime, so a late removal costs little.
_RETENTION_MS = 10_000.0
# Reads of the list drop expired guards at most this often.
_EXPIRY_INTERVAL_MS = 500.0
_VERSION_BITS = 53


@attrs.define(slots=True)
class _Announcement:
    guard: GuardAddress
    announced_ms: Milliseconds


class GuardRegistry:
    """Live guards, kept in memory and rebuilt from announcements.

    The version starts at a random number, so that a caller does not mistake
    the list of a restarted process for the one that it has already read.
    """

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        source: random.Random,
    ) -> None:
        """Create an empty registry."""
        self._clock = clock
        self._log = log
        self._announcements: dict[str, _Announcement] = {}
        self._version = source.getrandbits(_VERSION_BITS)
        self._next_expiry_ms: Milliseconds = 0
        # A refused guard repeats its announcement; the problem is logged once.
        self._last_problem = ''

    def version(self) -> int:
        """Return the version of the list, which grows with each change."""
        self._expire()
        return self._version

    def announce(self, guard: GuardAddress) -> str:
        """Add or update a guard, or renew the time of its announcement.

        An invalid announcement changes nothing: entries could not use the
        list. Returns why it is invalid, or an empty text.
        """
        problem = find_guard_problem(guard)
        if not problem:
            self._store(guard)
        elif problem != self._last_problem:
            self._last_problem = problem
            self._log.warning('bad_guard_address', detail=problem)
        return problem

    def live(self) -> tuple[GuardAddress, ...]:
        """Return the guards whose last announcement is recent enough."""
        return tuple(item.guard for item in self._announcements.values())

    def _store(self, guard: GuardAddress) -> None:
        known = self._announcements.get(guard.host_name)
        now_ms = self._clock.now_ms()
        if known is not None and known.guard == guard:
            known.announced_ms = now_ms
            return
        self._announcements[guard.host_name] = _Announcement(guard, now_ms)
        self._version += 1
        self._log.event(
            'guard_announced',
            host=guard.host_name,
            address=guard.link_address,
        )

    def _expire(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms < self._next_expiry_ms:
            return
        self._next_expiry_ms = now_ms + _EXPIRY_INTERVAL_MS
        oldest_ms = now_ms - _RETENTION_MS
        expired = [
            name
            for name, item in self._announcements.items()
            if item.announced_ms < oldest_ms
        ]
        for name in expired:
            self._announcements.pop(name)
            self._version += 1
            self._log.event('guard_forgotten', host=name)
