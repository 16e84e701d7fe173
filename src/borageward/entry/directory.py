"""Members of the cluster and the links that follow from them."""

from __future__ import annotations

import hashlib

import trio

from borageward.entry.batcher import Control
from borageward.entry.guardlink import GuardLink, LinkContext
from borageward.messages.control import (
    EntryMember,
    GuardMember,
    Membership,
    Watch,
)

_WATCH_WAIT_MS = 5000.0
_WATCH_TIMEOUT_MS = 7000.0
_WATCH_RETRY_MS = 100.0


class Directory:
    """Follows the membership and keeps links to a subset of the guards.

    The subset is chosen by rendezvous hashing, so that a change of one guard
    moves few links.
    """

    def __init__(
        self,
        control: Control,
        context: LinkContext,
        links: dict[int, GuardLink],
        name: str,
        subset_size: int,
    ) -> None:
        """Prepare a directory that keeps ``links`` by guard incarnation."""
        self._control = control
        self._context = context
        self._links = links
        self._name = name
        self._subset_size = subset_size
        self._guards: dict[int, GuardMember] = {}
        self._entries: dict[int, EntryMember] = {}
        self._version = 0
        self._changed = trio.Event()
        self._nursery: trio.Nursery | None = None

    @property
    def version(self) -> int:
        """Return the version of the membership, zero before the first."""
        return self._version

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to follow the membership."""
        self._nursery = nursery
        nursery.start_soon(self._watch)

    def acknowledge_all(self) -> None:
        """Send the acknowledgements that still wait to share a message."""
        for link in self._links.values():
            link.acknowledgements.flush()

    def entry(self, incarnation: int) -> EntryMember | None:
        """Return an entry incarnation that the membership has told."""
        return self._entries.get(incarnation)

    async def wait_entry_ended(self, incarnation: int) -> None:
        """Wait until the membership tells the end of an entry."""
        while True:
            member = self._entries.get(incarnation)
            if member is not None and member.ended_at:
                return
            await self._changed.wait()

    def link_to(self, member: GuardMember) -> GuardLink:
        """Return a link to a guard, opened when there is none.

        A link outside the subset only settles, and is closed once it has no
        open tasks and ``unpin`` was called as often as this method.
        """
        link = self._links.get(member.incarnation)
        if link is None:
            link = self._open(member, placeable=False)
        link.pins += 1
        return link

    def unpin(self, link: GuardLink) -> None:
        """Stop to need a link; closes one that is outside the subset."""
        link.pins -= 1
        self._arrange()

    def reconnect(self) -> None:
        """Greet every guard again, under a new incarnation."""
        for link in self._links.values():
            link.reconnect()

    async def _watch(self) -> None:
        while True:
            reply = await self._control.call(
                Watch(self._version, _WATCH_WAIT_MS),
                _WATCH_TIMEOUT_MS,
            )
            if isinstance(reply, Membership):
                self._use(reply)
            else:
                await self._context.clock.sleep_ms(_WATCH_RETRY_MS)

    def _use(self, membership: Membership) -> None:
        self._version = membership.version
        if membership.full:
            self._guards.clear()
            self._entries.clear()
        for guard in membership.guards:
            self._guards[guard.incarnation] = guard
        for entry in membership.entries:
            self._entries[entry.incarnation] = entry
        self._forget_ended()
        self._arrange()
        self._changed.set()
        self._changed = trio.Event()

    def _forget_ended(self) -> None:
        for incarnation, guard in list(self._guards.items()):
            if guard.ended_at:
                self._guards.pop(incarnation)

    def _arrange(self) -> None:
        wanted = self._subset()
        for incarnation, link in list(self._links.items()):
            if incarnation not in self._guards:
                link.retire()
            elif incarnation not in wanted:
                self._leave(link)
        for incarnation, member in wanted.items():
            if incarnation not in self._links:
                self._open(member, placeable=True)
            elif not self._links[incarnation].placeable:
                self._links[incarnation].make_placeable()

    def _leave(self, link: GuardLink) -> None:
        """Place no more work at a guard outside the subset."""
        link.make_unplaceable()
        if not link.open_tasks and not link.pins:
            link.close()

    def _subset(self) -> dict[int, GuardMember]:
        members = list(self._guards.values())
        if len(members) > self._subset_size:
            members.sort(key=self._weight)
            members = members[: self._subset_size]
        return {member.incarnation: member for member in members}

    def _weight(self, member: GuardMember) -> bytes:
        key = f'{self._name} {member.worker}'.encode()
        return hashlib.blake2b(key, digest_size=8).digest()  # noqa: WPS432

    def _open(self, member: GuardMember, placeable: bool) -> GuardLink:
        link = GuardLink(member, self._context, placeable)
        self._links[member.incarnation] = link
        if self._nursery is not None:
            self._nursery.start_soon(self._run_link, link)
        return link

    async def _run_link(self, link: GuardLink) -> None:
        await link.run()
        if self._links.get(link.incarnation) is link:
            self._links.pop(link.incarnation)
            self._arrange()
