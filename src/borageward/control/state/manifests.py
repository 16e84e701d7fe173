"""The queue manifest in the replicated state."""

from __future__ import annotations

from borageward.messages.queues import ManifestStored, PublishManifest
from borageward.queues.manifest import QueueManifest


class ManifestStore:
    """Keeps the published manifest with the highest version."""

    def __init__(self) -> None:
        """Create a store without a manifest."""
        self._newest: QueueManifest | None = None

    @property
    def newest(self) -> QueueManifest | None:
        """Return the manifest in force, or ``None`` if none was published."""
        return self._newest

    def publish(self, command: PublishManifest) -> ManifestStored:
        """Store a manifest if its version is higher than the stored one.

        The reply carries the version in force afterwards.
        """
        newest = self._newest
        if newest is None or command.manifest.version > newest.version:
            newest = command.manifest
            self._newest = newest
        return ManifestStored(newest.version)

    def restore(self, newest: QueueManifest | None) -> None:
        """Replace the manifest by that of a snapshot."""
        self._newest = newest
