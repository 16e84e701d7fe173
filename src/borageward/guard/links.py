"""The open links by entry incarnation."""

from __future__ import annotations

from collections.abc import Iterator

from borageward.guard.link import EntryLink


class EntryLinks:
    """Open links; the newest of an incarnation comes last."""

    def __init__(self) -> None:
        """Prepare without links."""
        self._links: list[EntryLink] = []

    def __iter__(self) -> Iterator[EntryLink]:
        """Return the open links."""
        return iter(tuple(self._links))

    def add(self, link: EntryLink) -> None:
        """Make a link the newest of its incarnation."""
        self.remove(link)
        self._links.append(link)

    def remove(self, link: EntryLink) -> None:
        """Forget a link."""
        if link in self._links:
            self._links.remove(link)

    def route(self, preferred: EntryLink, owner: int) -> EntryLink | None:
        """Return the preferred link while it is open, or the newest one."""
        if preferred in self._links:
            return preferred
        for link in reversed(self._links):
            if link.incarnation == owner:
                return link
        return None
