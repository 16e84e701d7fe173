"""Messages that store and read the queue manifest."""

from __future__ import annotations

from typing import TypeAlias

from borageward.messages.base import Message, Rejected
from borageward.queues.manifest import QueueManifest


class PublishManifest(Message, frozen=True):
    """Store a manifest if its version is above that of the stored one."""

    manifest: QueueManifest


class ManifestStored(Message, frozen=True):
    """Reply to ``PublishManifest`` with the version now in force."""

    version: int


class ReadManifest(Message, frozen=True):
    """Ask the leader for the newest manifest, confirmed by a majority."""


class NewestManifest(Message, frozen=True):
    """Reply to ``ReadManifest``; ``None`` when no manifest is stored."""

    manifest: QueueManifest | None


ManifestRequest: TypeAlias = PublishManifest | ReadManifest
ManifestReply: TypeAlias = ManifestStored | NewestManifest | Rejected
