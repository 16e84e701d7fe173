"""Messages that store the queue manifest."""

from __future__ import annotations

from borageward.messages.base import Message
from borageward.queues.manifest import QueueManifest


class PublishManifest(Message, frozen=True):
    """Store a manifest if its version is above that of the stored one."""

    manifest: QueueManifest


class ManifestStored(Message, frozen=True):
    """Reply to ``PublishManifest`` with the version now in force."""

    version: int
