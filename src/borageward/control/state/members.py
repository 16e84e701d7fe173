"""Cluster members: the incarnations of entries and guards."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import TypeAlias

import msgspec

from borageward.control.state.snapshot import (
    EntryRecord,
    GuardRecord,
    MembersSnapshot,
)
from borageward.messages.control import (
    EntryMember,
    GuardMember,
    Membership,
    RegisterEntry,
    RegisterGuard,
)

MemberRecord: TypeAlias = EntryRecord | GuardRecord


class Members:
    """Incarnations that are live or ended within the claim retention.

    An incarnation number is the log position of the registration. The
    membership version is the log position of the last change to a member.
    """

    def __init__(self) -> None:
        """Create a state without members."""
        self._entries: dict[int, EntryRecord] = {}
        self._guards: dict[int, GuardRecord] = {}
        self._by_nonce: dict[bytes, int] = {}
        # In the order in which they ended, so that ``forget`` needs to look
        # only at the front.
        self._ended: deque[MemberRecord] = deque()
        self._version = 0
        self._forgotten_version = 0

    @property
    def version(self) -> int:
        """Return the membership version."""
        return self._version

    @property
    def live_entries(self) -> int:
        """Return the number of live entries."""
        return sum(1 for record in self._entries.values() if _is_live(record))

    def record(self, incarnation: int) -> MemberRecord | None:
        """Return the record of an incarnation, or ``None`` if unknown."""
        entry = self._entries.get(incarnation)
        if entry is not None:
            return entry
        return self._guards.get(incarnation)

    def is_live(self, incarnation: int) -> bool:
        """Return whether an incarnation is known and has not ended."""
        record = self.record(incarnation)
        return record is not None and _is_live(record)

    def is_live_entry(self, incarnation: int) -> bool:
        """Return whether an incarnation belongs to a live entry."""
        record = self._entries.get(incarnation)
        return record is not None and _is_live(record)

    def is_working_guard(self, incarnation: int) -> bool:
        """Return whether an incarnation is a live guard that takes new work.

        A guard that has announced that it is leaving takes no new work.
        """
        record = self._guards.get(incarnation)
        if record is None or not _is_live(record):
            return False
        return not record.member.leaving

    def link_address(self, incarnation: int) -> str:
        """Return the address where an entry accepts links of other entries.

        The address is empty if the entry is unknown.
        """
        record = self._entries.get(incarnation)
        return '' if record is None else record.member.link_address

    def incarnation_of(self, nonce: bytes) -> int | None:
        """Return the incarnation registered with a nonce, if there is one."""
        return self._by_nonce.get(nonce)

    def live_records(self) -> list[MemberRecord]:
        """Return the records of all live members."""
        return [record for record in self._records() if _is_live(record)]

    def add_entry(self, request: RegisterEntry, position: int) -> None:
        """Add an entry incarnation that registered at a log position."""
        member = EntryMember(
            position,
            request.name,
            request.place,
            request.link_address,
            request.http_address,
            started_at=position,
        )
        self._entries[position] = EntryRecord(member, request.nonce, position)
        self._by_nonce[request.nonce] = position
        self._version = position

    def add_guard(self, request: RegisterGuard, position: int) -> None:
        """Add a guard incarnation that registered at a log position."""
        member = GuardMember(
            position,
            request.worker,
            request.place,
            request.service,
            request.endpoint,
            request.link_address,
            request.slots,
            started_at=position,
        )
        self._guards[position] = GuardRecord(member, request.nonce, position)
        self._by_nonce[request.nonce] = position
        self._version = position

    def end(self, incarnation: int, position: int, wall_ms: int) -> None:
        """Mark an incarnation as ended.

        An unknown incarnation or one that has already ended is not changed.
        ``wall_ms`` is the wall time of the log entry at ``position``.
        """
        record = self.record(incarnation)
        if record is None or not _is_live(record):
            return
        _replace_member(record, ended_at=position)
        record.ended_wall_ms = wall_ms
        self._ended.append(record)
        self._mark_changed(record, position)

    def mark_leaving(self, incarnation: int, position: int) -> None:
        """Record that a live guard is leaving and takes no new work."""
        record = self._guards.get(incarnation)
        if record is None or not _is_live(record) or record.member.leaving:
            return
        _replace_member(record, leaving=True)
        self._mark_changed(record, position)

    def ended_entries_after(self, position: int) -> tuple[int, ...]:
        """Return the entry incarnations that ended after a log position."""
        return tuple(
            incarnation
            for incarnation, record in self._entries.items()
            if record.member.ended_at > position
        )

    def changes_after(self, version: int) -> Membership:
        """Return the members that changed after a membership version.

        The reply is marked as full and lists all members if the change of a
        forgotten member could be missing from it, or if the version is newer
        than this state.
        """
        full = version <= self._forgotten_version or version > self._version
        after = 0 if full else version
        return Membership(
            self._version,
            full,
            _changed_guards(self._guards.values(), after),
            _changed_entries(self._entries.values(), after),
        )

    def guards_since(self, position: int) -> Membership:
        """Return the guards that are live or ended at or after a position."""
        guards = tuple(
            record.member
            for record in self._guards.values()
            if _is_live(record) or record.member.ended_at >= position
        )
        return Membership(self._version, full=False, guards=guards, entries=())

    def forget(self, ended_before_ms: int) -> None:
        """Drop the incarnations that ended before a wall time in ms."""
        while self._ended and self._ended[0].ended_wall_ms < ended_before_ms:
            self._forget_record(self._ended.popleft())

    def snapshot(self) -> MembersSnapshot:
        """Return all members in the form that is stored in snapshots."""
        return MembersSnapshot(
            tuple(self._entries.values()),
            tuple(self._guards.values()),
            self._version,
            self._forgotten_version,
        )

    def restore(self, snapshot: MembersSnapshot) -> None:
        """Replace all members by those of a snapshot."""
        self._entries = {
            record.member.incarnation: record for record in snapshot.entries
        }
        self._guards = {
            record.member.incarnation: record for record in snapshot.guards
        }
        self._by_nonce = {
            record.nonce: record.member.incarnation
            for record in self._records()
        }
        ended = [rec for rec in self._records() if not _is_live(rec)]
        ended.sort(key=lambda record: record.member.ended_at)
        self._ended = deque(ended)
        self._version = snapshot.version
        self._forgotten_version = snapshot.forgotten_version

    def _records(self) -> list[MemberRecord]:
        return [*self._entries.values(), *self._guards.values()]

    def _forget_record(self, record: MemberRecord) -> None:
        incarnation = record.member.incarnation
        self._entries.pop(incarnation, None)
        self._guards.pop(incarnation, None)
        self._by_nonce.pop(record.nonce, None)
        self._forgotten_version = max(
            self._forgotten_version,
            record.changed_at,
        )

    def _mark_changed(self, record: MemberRecord, position: int) -> None:
        record.changed_at = position
        self._version = position


def _is_live(record: MemberRecord) -> bool:
    return record.member.ended_at == 0


def _replace_member(record: MemberRecord, **fields: int | bool) -> None:
    if isinstance(record, EntryRecord):
        record.member = msgspec.structs.replace(record.member, **fields)
    else:
        record.member = msgspec.structs.replace(record.member, **fields)


def _changed_guards(
    records: Iterable[GuardRecord],
    version: int,
) -> tuple[GuardMember, ...]:
    return tuple(
        record.member for record in records if record.changed_at > version
    )


def _changed_entries(
    records: Iterable[EntryRecord],
    version: int,
) -> tuple[EntryMember, ...]:
    return tuple(
        record.member for record in records if record.changed_at > version
    )
