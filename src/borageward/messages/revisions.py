"""Configuration revisions: changes, approvals, history and what is in force."""

from __future__ import annotations

import msgspec

from borageward.messages.base import Message
from borageward.messages.configuration import ConfigurationChange


class ApplyChange(Message, frozen=True):
    """Compare-and-set of the configuration.

    ``plan_digest`` is the digest of the exact plan text that was approved, or
    empty. ``plan_text`` is that text; it states the change, so that control
    can tell whether the approval covers the change. The same command id gets
    its first outcome again.
    """

    command_id: bytes
    base_revision: int
    change: ConfigurationChange
    author: str
    reason: str
    plan_digest: bytes = b''
    plan_text: str = ''


class Approve(Message, frozen=True):
    """Record an approval of a plan by its digest."""

    command_id: bytes
    plan_digest: bytes
    base_revision: int
    approver: str


class Applied(Message, frozen=True):
    """The change is durable as this revision."""

    revision: int


class RevisionConflict(Message, frozen=True):
    """Another change won; tells whose and when."""

    revision: int
    author: str
    reason: str
    applied_wall_ms: int


class ReadConfiguration(Message, frozen=True):
    """Read the configuration; zero means the newest revision."""

    revision: int = 0


class HistoryItem(msgspec.Struct, frozen=True, array_like=True):
    """One change in the history: who, when, why."""

    revision: int
    author: str
    approver: str
    reason: str
    wall_ms: int
    change: ConfigurationChange | None


class ConfigurationRead(Message, frozen=True):
    """Configuration of a revision as JSON."""

    revision: int
    configuration: bytes


class ReadHistory(Message, frozen=True):
    """Read the newest changes, newest first."""

    limit: int


class History(Message, frozen=True):
    """Changes, newest first."""

    history: tuple[HistoryItem, ...]


class ReadInForce(Message, frozen=True):
    """Ask which live processes have not confirmed a revision."""

    revision: int


class InForce(Message, frozen=True):
    """Processes that have not confirmed the revision; none: in force."""

    revision: int
    pending: tuple[str, ...]
    confirmed: int
