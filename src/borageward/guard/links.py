"""The open links of a guard to entries."""

from __future__ import annotations

from collections.abc import Iterator

from borageward.guard.link import EntryLink


class EntryLinks:
    """Open links in the order in which they were added."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._links: list[EntryLink] = []

    def __iter__(self) -> Iterator[EntryLink]:
        """Iterate over a copy, so that links may be added and removed."""
        return iter(tuple(self._links))

    def add(self, link: EntryLink) -> None:
        """Add a link as the newest one; a known link moves to the end."""
        self.remove(link)
        self._links.append(link)

    def remove(self, link: EntryLink) -> None:
        """Remove a link; does nothing when it is absent."""
        if link in self._links:
            self._links.remove(link)

    def route(self, preferred: EntryLink, owner: int) -> EntryLink | None:
        """Return the link on which a message reaches an owner.

        This is the preferred link while it is open, else the owner's newest
        one, or ``None`` when the owner has no open link.
        """
        if preferred in self._links:
            return preferred
        for link in reversed(self._links):
            if link.incarnation == owner:
                return link
        return None
