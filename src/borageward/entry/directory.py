"""Follows the cluster membership and maintains the links to guards."""

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

    The entry places tasks only at guards of the subset. Rendezvous hashing of
    the entry's name and the worker's name chooses it, so that few links change
    when a guard joins or ends.
    """

    def __init__(
        self,
        control: Control,
        context: LinkContext,
        links: dict[int, GuardLink],
        name: str,
        subset_size: int,
    ) -> None:
        """Prepare a directory that fills ``links`` by guard incarnation.

        ``name`` is the name of the entry, ``subset_size`` the largest number
        of guards to place tasks at.
        """
        self._control = control
        self._context = context
        self._links = links
        self._entry_name = name
        self._subset_size = subset_size
        self._guards: dict[int, GuardMember] = {}
        self._entries: dict[int, EntryMember] = {}
        self._version = 0
        self._changed = trio.Event()
        self._nursery: trio.Nursery | None = None

    @property
    def version(self) -> int:
        """Return the version of the membership, zero until it is known."""
        return self._version

    async def start(self, nursery: trio.Nursery) -> None:
        """Follow the membership and run the links in the nursery."""
        self._nursery = nursery
        nursery.start_soon(self._watch)

    def acknowledge_all(self) -> None:
        """Send the acknowledgements that are delayed for batching now."""
        for link in self._links.values():
            link.acknowledgements.flush()

    def entry(self, incarnation: int) -> EntryMember | None:
        """Return an entry by incarnation, or ``None`` if it is not known."""
        return self._entries.get(incarnation)

    async def wait_entry_ended(self, incarnation: int) -> None:
        """Wait until control has ended an entry incarnation."""
        while True:
            member = self._entries.get(incarnation)
            if member is not None and member.ended_at:
                return
            await self._changed.wait()

    def link_to(self, member: GuardMember) -> GuardLink:
        """Pin the link to a guard and return it; open it if there is none.

        A link to a guard outside the subset is used for fencing and settling
        only. It is closed once it has no open tasks and ``unpin`` was called
        as often as this method.
        """
        link = self._links.get(member.incarnation)
        if link is None:
            link = self._open_link(member, placeable=False)
        link.pins += 1
        return link

    def unpin(self, link: GuardLink) -> None:
        """Release a link that ``link_to`` has returned.

        Closes it if its guard is outside the subset and nothing else needs it.
        """
        link.pins -= 1
        self._update_links()

    def reconnect(self) -> None:
        """Reconnect to every guard, under a new incarnation of the entry."""
        for link in self._links.values():
            link.reconnect()

    async def _watch(self) -> None:
        while True:
            reply = await self._control.call(
                Watch(self._version, _WATCH_WAIT_MS),
                _WATCH_TIMEOUT_MS,
            )
            if isinstance(reply, Membership):
                self._apply_membership(reply)
            else:
                await self._context.clock.sleep_ms(_WATCH_RETRY_MS)

    def _apply_membership(self, membership: Membership) -> None:
        self._version = membership.version
        if membership.full:
            self._guards.clear()
            self._entries.clear()
        for guard in membership.guards:
            self._guards[guard.incarnation] = guard
        for entry in membership.entries:
            self._entries[entry.incarnation] = entry
        self._remove_ended_guards()
        self._update_links()
        self._changed.set()
        self._changed = trio.Event()

    def _remove_ended_guards(self) -> None:
        for incarnation, guard in list(self._guards.items()):
            if guard.ended_at:
                self._guards.pop(incarnation)

    def _update_links(self) -> None:
        wanted = self._choose_subset()
        for incarnation, link in list(self._links.items()):
            if incarnation not in self._guards:
                link.retire()
            elif incarnation not in wanted:
                self._stop_placement(link)
        for incarnation, member in wanted.items():
            if incarnation not in self._links:
                self._open_link(member, placeable=True)
            elif not self._links[incarnation].placeable:
                self._links[incarnation].make_placeable()

    def _stop_placement(self, link: GuardLink) -> None:
        """Place no more tasks at a guard, and close its link if unused."""
        link.make_unplaceable()
        if not link.open_tasks and not link.pins:
            link.close()

    def _choose_subset(self) -> dict[int, GuardMember]:
        members = list(self._guards.values())
        if len(members) > self._subset_size:
            members.sort(key=self._weight)
            members = members[: self._subset_size]
        return {member.incarnation: member for member in members}

    def _weight(self, member: GuardMember) -> bytes:
        key = f'{self._entry_name} {member.worker}'.encode()
        return hashlib.blake2b(key, digest_size=8).digest()  # noqa: WPS432

    def _open_link(self, member: GuardMember, placeable: bool) -> GuardLink:
        link = GuardLink(member, self._context, placeable)
        self._links[member.incarnation] = link
        if self._nursery is not None:
            self._nursery.start_soon(self._run_link, link)
        return link

    async def _run_link(self, link: GuardLink) -> None:
        await link.run()
        if self._links.get(link.incarnation) is link:
            self._links.pop(link.incarnation)
            self._update_links()
