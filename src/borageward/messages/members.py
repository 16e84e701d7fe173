"""Membership: registration, heartbeats and members as control knows them."""

from __future__ import annotations

import msgspec

from borageward.messages.base import Message


class RegisterEntry(Message, frozen=True):
    """Start an entry incarnation. The same nonce gives the same number."""

    nonce: bytes
    name: str
    place: str
    link_address: str
    http_address: str


class RegisterGuard(Message, frozen=True):
    """Start a guard incarnation. The same nonce gives the same number."""

    nonce: bytes
    worker: str
    place: str
    service: str
    endpoint: str
    link_address: str
    slots: int


class Registered(Message, frozen=True):
    """Incarnation given to a process, with the configuration in force.

    ``ended`` lists every ended entry incarnation in retention, so that a new
    guard fences them before its first start.
    """

    incarnation: int
    revision: int
    configuration: bytes
    ended: tuple[int, ...] = ()
    ended_through: int = 0


class Heartbeat(Message, frozen=True):
    """Renew the lease of an incarnation and confirm a revision.

    ``ended_after`` is the last ended incarnation position that the process
    has seen; the reply lists those after it.
    """

    incarnation: int
    revision: int
    ended_after: int
    leaving: bool = False
    free_slots: int = 0


class HeartbeatReply(Message, frozen=True):
    """Confirms the lease with the newest revision.

    ``configuration`` is JSON and empty when the process is up to date.
    ``ended`` lists entry incarnations that ended; ``ended_through`` is the
    position to send in the next heartbeat.
    """

    revision: int
    configuration: bytes
    ended: tuple[int, ...]
    ended_through: int
    live_entries: int


class EndIncarnation(Message, frozen=True):
    """End an incarnation, by the process itself after its last answer."""

    incarnation: int


class GuardMember(msgspec.Struct, frozen=True, array_like=True):
    """One guard incarnation as control knows it.

    ``started_at`` and ``ended_at`` are log positions; ``ended_at`` is zero
    while the incarnation lives.
    """

    incarnation: int
    worker: str
    place: str
    service: str
    endpoint: str
    link_address: str
    slots: int
    leaving: bool = False
    started_at: int = 0
    ended_at: int = 0


class EntryMember(msgspec.Struct, frozen=True, array_like=True):
    """One entry incarnation as control knows it."""

    incarnation: int
    name: str
    place: str
    link_address: str
    http_address: str
    started_at: int = 0
    ended_at: int = 0


class Watch(Message, frozen=True):
    """Long poll for membership changes after a version.

    ``wait_ms`` bounds how long control holds the request.
    """

    after_version: int
    wait_ms: float


class Membership(Message, frozen=True):
    """Members that changed after the version that was asked for.

    With ``full`` the lists hold every member in retention.
    """

    version: int
    full: bool
    guards: tuple[GuardMember, ...]
    entries: tuple[EntryMember, ...]


class GuardsSince(Message, frozen=True):
    """Ask for every guard incarnation that lived at or after a position."""

    position: int
