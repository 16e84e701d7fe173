"""Messages about membership: registration, heartbeats and member lists."""

from __future__ import annotations

import msgspec

from borageward.messages.base import Message


class RegisterEntry(Message, frozen=True):
    """Start an entry incarnation; answered by ``Registered``.

    A repeated request with the same nonce gets the same incarnation.
    ``place`` is the availability zone, ``link_address`` the address for other
    entries and ``http_address`` the one for callers.
    """

    nonce: bytes
    name: str
    place: str
    link_address: str
    http_address: str


class RegisterGuard(Message, frozen=True):
    """Start a guard incarnation; answered by ``Registered``.

    A repeated request with the same nonce gets the same incarnation.
    ``place`` is the availability zone, ``endpoint`` the address of the runner
    and ``link_address`` the address for entries. ``slots`` is the number of
    tasks that the runner executes at a time.
    """

    nonce: bytes
    worker: str
    place: str
    service: str
    endpoint: str
    link_address: str
    slots: int


class Registered(Message, frozen=True):
    """Reply to a registration with the incarnation and the configuration.

    ``configuration`` is the JSON of ``revision``. ``ended`` lists all ended
    entry incarnations within the claim retention, so that a new guard can
    fence them before it starts a task. ``ended_through`` is the log position
    up to which ``ended`` is complete; it is sent in the next heartbeat.
    """

    incarnation: int
    revision: int
    configuration: bytes
    ended: tuple[int, ...] = ()
    ended_through: int = 0


class Heartbeat(Message, frozen=True):
    """Renew the lease of an incarnation and confirm its revision.

    ``revision`` is the configuration revision that the process uses.
    ``ended_after`` is the log position up to which it knows the ended entry
    incarnations; the reply lists those that ended later. ``leaving`` means
    that the process accepts no new work. ``free_slots`` is zero for an entry.
    """

    incarnation: int
    revision: int
    ended_after: int
    leaving: bool = False
    free_slots: int = 0


class HeartbeatReply(Message, frozen=True):
    """Confirm the lease and report the newest revision.

    ``configuration`` is the JSON of ``revision``, or empty when the process
    already has it. ``ended`` lists the entry incarnations that ended after the
    requested position, and ``ended_through`` is the log position to send in
    the next heartbeat. ``live_entries`` is the number of live entries.
    """

    revision: int
    configuration: bytes
    ended: tuple[int, ...]
    ended_through: int
    live_entries: int


class EndIncarnation(Message, frozen=True):
    """End an incarnation.

    Sent by a process that shuts down, or logged by the leader when the lease
    of the incarnation has expired.
    """

    incarnation: int


class GuardMember(msgspec.Struct, frozen=True, array_like=True):
    """One guard incarnation, with the values that it registered.

    ``started_at`` and ``ended_at`` are log positions; ``ended_at`` is zero
    while the incarnation is live.
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
    """One entry incarnation, with the values that it registered.

    ``started_at`` and ``ended_at`` are log positions; ``ended_at`` is zero
    while the incarnation is live.
    """

    incarnation: int
    name: str
    place: str
    link_address: str
    http_address: str
    started_at: int = 0
    ended_at: int = 0


class Watch(Message, frozen=True):
    """Wait for membership changes after a version; a long poll.

    Answered by ``Membership`` at the first change, or without changes after
    ``wait_ms``.
    """

    after_version: int
    wait_ms: float


class Membership(Message, frozen=True):
    """Members that changed after the requested version.

    ``version`` is the log position of the last membership change. With
    ``full`` the lists contain every live member and every one that ended
    within the claim retention.
    """

    version: int
    full: bool
    guards: tuple[GuardMember, ...]
    entries: tuple[EntryMember, ...]


class GuardsSince(Message, frozen=True):
    """Ask for the guard incarnations that were live at or after a position.

    ``position`` is a log position. Answered by ``Membership`` without entries.
    """

    position: int
