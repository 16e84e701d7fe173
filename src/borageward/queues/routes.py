"""Routing of requests to queues."""

from __future__ import annotations

from collections.abc import Iterable

from borageward.queues.manifest import Queue


class QueueRoutes:
    """Queues by host name and path prefix; the longest prefix wins."""

    def __init__(self, queues: Iterable[Queue] = ()) -> None:
        """Index queues by host name, compared in lower case."""
        self._by_host: dict[str, list[Queue]] = {}
        for queue in queues:
            self._by_host.setdefault(queue.host.lower(), []).append(queue)
        for host_queues in self._by_host.values():
            host_queues.sort(key=_prefix_length, reverse=True)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host and path, or None.

        ``host`` must be in lower case.
        """
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None


def _prefix_length(queue: Queue) -> int:
    return len(queue.path_prefix)
