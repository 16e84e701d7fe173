"""Messages about configuration revisions: changes, approvals and history."""

from __future__ import annotations

import msgspec

from borageward.messages.base import Message
from borageward.messages.configuration import ConfigurationChange


class ApplyChange(Message, frozen=True):
    """Change the configuration if ``base_revision`` is the newest revision.

    ``plan_digest`` is the digest of the approved plan, or empty without one.
    ``plan_text`` is the exact text of that plan. Control compares it with
    ``change`` to check that the approval covers the change. A repeated request
    with the same command id gets the outcome of the first one.
    """

    command_id: bytes
    base_revision: int
    change: ConfigurationChange
    author: str
    reason: str
    plan_digest: bytes = b''
    plan_text: str = ''


class Approve(Message, frozen=True):
    """Record the approval of a plan, identified by its digest.

    The approval is valid while ``base_revision`` is the newest revision. A
    repeated request with the same command id gets the outcome of the first one.
    """

    command_id: bytes
    plan_digest: bytes
    base_revision: int
    approver: str


class Applied(Message, frozen=True):
    """Confirm that a change was stored as a new revision."""

    revision: int


class RevisionConflict(Message, frozen=True):
    """Refuse a request because its base revision is not the newest one.

    Describes the change that followed the base revision, or the newest change
    when that one is no longer kept. ``applied_wall_ms`` is its wall time in
    milliseconds since the Unix epoch.
    """

    revision: int
    author: str
    reason: str
    applied_wall_ms: int


class ReadConfiguration(Message, frozen=True):
    """Read the configuration of a revision; zero means the newest one."""

    revision: int = 0


class HistoryItem(msgspec.Struct, frozen=True, array_like=True):
    """One revision in the history.

    ``approver`` is empty when there was no approval. ``wall_ms`` is the wall
    time in milliseconds since the Unix epoch. ``change`` is ``None`` for the
    initial configuration.
    """

    revision: int
    author: str
    approver: str
    reason: str
    wall_ms: int
    change: ConfigurationChange | None


class ConfigurationRead(Message, frozen=True):
    """Reply to ``ReadConfiguration``; ``configuration`` is JSON."""

    revision: int
    configuration: bytes


class ReadHistory(Message, frozen=True):
    """Read up to ``limit`` of the newest revisions."""

    limit: int


class History(Message, frozen=True):
    """Reply to ``ReadHistory`` with revisions, newest first."""

    history: tuple[HistoryItem, ...]


class ReadInForce(Message, frozen=True):
    """Ask which processes may still act on a revision before this one."""

    revision: int


class InForce(Message, frozen=True):
    """Reply to ``ReadInForce``.

    ``revision`` is the newest revision. ``pending`` describes the processes
    that have not confirmed the requested revision, which is in force once
    there are none. ``confirmed`` is the number of the other processes.
    """

    revision: int
    pending: tuple[str, ...]
    confirmed: int
