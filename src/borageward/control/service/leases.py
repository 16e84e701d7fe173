"""Leases of entry and guard incarnations, kept by the leader in memory."""

from __future__ import annotations

import attrs
import trio

from borageward.clock import Clock, Milliseconds
from borageward.control.service.replica import LogReplica
from borageward.control.state.members import MemberRecord
from borageward.control.state.snapshot import EntryRecord
from borageward.messages.control import EndIncarnation, InForce
from borageward.settings import ControlSettings
from borageward.telemetry import EventLog

_CHECK_INTERVAL_MS = 50.0
# A check that is delayed by more than this shows that the process or the host
# was stalled. Heartbeats that would have renewed leases were stalled as well.
_MAX_CHECK_DELAY_MS = 250.0


@attrs.define(slots=True)
class _Lease:
    """Lease of one incarnation and the newest revision that it confirmed."""

    member: MemberRecord
    renewed_ms: Milliseconds
    revision: int = 0


class LeaseTable:
    """Leases of all members, timed by the monotonic clock of the leader.

    A new leader grants every live incarnation a full lease, because it does
    not know when the previous leader renewed it. The table is empty on a
    replica that does not lead.
    """

    def __init__(
        self,
        settings: ControlSettings,
        replica: LogReplica,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Create an empty table."""
        self._settings = settings
        self._replica = replica
        self._clock = clock
        self._log = log
        self._leases: dict[int, _Lease] = {}
        # Ended incarnations whose process may still act on an old revision,
        # until the configuration lease of its last heartbeat has expired.
        self._ended: dict[int, _Lease] = {}
        self._term = 0
        self._checked_ms: Milliseconds = 0

    def renew(self, incarnation: int, revision: int) -> bool:
        """Renew a lease and return whether the incarnation is live.

        ``revision`` is the configuration that the process has applied.
        """
        self._refresh()
        lease = self._leases.get(incarnation)
        if lease is None:
            return False
        lease.renewed_ms = self._clock.now_ms()
        lease.revision = max(lease.revision, revision)
        return True

    def in_force(self, revision: int) -> InForce:
        """Return which processes may still act on an older revision."""
        self._refresh()
        pending = [
            _describe(lease.member)
            for lease in (*self._leases.values(), *self._ended.values())
            if lease.revision < revision
        ]
        return InForce(
            self._replica.machine.revisions.revision,
            tuple(pending),
            len(self._leases) + len(self._ended) - len(pending),
        )

    async def run(self) -> None:
        """End incarnations whose lease has expired, while leading."""
        self._checked_ms = self._clock.now_ms()
        while True:
            await self._clock.sleep_ms(_CHECK_INTERVAL_MS)
            self._extend_after_delay()
            self._refresh()
            async with trio.open_nursery() as nursery:
                for incarnation in self._expired_incarnations():
                    nursery.start_soon(self._end_incarnation, incarnation)

    def _extend_after_delay(self) -> None:
        """Extend all leases by the time for which this process stalled."""
        now_ms = self._clock.now_ms()
        delay_ms = now_ms - self._checked_ms - _CHECK_INTERVAL_MS
        self._checked_ms = now_ms
        if delay_ms <= _MAX_CHECK_DELAY_MS:
            return
        for lease in self._leases.values():
            lease.renewed_ms = min(now_ms, lease.renewed_ms + delay_ms)

    def _refresh(self) -> None:
        """Update the table from the replicated members and the term."""
        term = self._replica.leader_term
        if term != self._term:
            self._leases.clear()
            self._ended.clear()
            self._term = term
        if term == 0:
            return
        self._add_live()
        self._move_ended()

    def _add_live(self) -> None:
        now_ms = self._clock.now_ms()
        for record in self._replica.machine.members.live_records():
            incarnation = record.member.incarnation
            if incarnation not in self._leases:
                self._leases[incarnation] = _Lease(record, now_ms)

    def _move_ended(self) -> None:
        """Move ended incarnations to ``_ended`` and drop expired ones there.

        The process of an ended incarnation may act until the configuration
        lease of its last heartbeat has expired.
        """
        members = self._replica.machine.members
        for incarnation in list(self._leases):
            if not members.is_live(incarnation):
                self._ended[incarnation] = self._leases.pop(incarnation)
        configuration = self._replica.machine.revisions.configuration
        lease_ms = configuration.limits.configuration_lease_ms
        cutoff_ms = self._clock.now_ms() - lease_ms
        for incarnation, lease in list(self._ended.items()):
            if lease.renewed_ms < cutoff_ms:
                self._ended.pop(incarnation)

    def _expired_incarnations(self) -> list[int]:
        now_ms = self._clock.now_ms()
        return [
            incarnation
            for incarnation, lease in self._leases.items()
            if now_ms - lease.renewed_ms > self._lease_ms(lease.member)
        ]

    def _lease_ms(self, record: MemberRecord) -> int:
        if isinstance(record, EntryRecord):
            return self._settings.entry_lease_ms
        return self._settings.guard_lease_ms

    async def _end_incarnation(self, incarnation: int) -> None:
        self._log.event('lease_expired', incarnation=incarnation)
        await self._replica.propose(EndIncarnation(incarnation))


def _describe(record: MemberRecord) -> str:
    number = record.member.incarnation
    if isinstance(record, EntryRecord):
        name = record.member.name
        return f'entry {name} #{number}'
    worker = record.member.worker
    return f'guard {worker} #{number}'
