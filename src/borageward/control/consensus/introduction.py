"""Admission of an initial voter on its first start.

A voter that starts with an empty disk may belong to a new cluster, or it may
have lost its disk and, with it, the votes that it gave. Every initial voter
stores the first storage id that it receives for each of the others. A
replaced disk is therefore refused by any of them that still has its own disk.
"""

from __future__ import annotations

import trio

from borageward.control.consensus.context import ReplicaContext
from borageward.control.consensus.links import PeerLinks
from borageward.messages.consensus import Introduce, Introduced


class Introduction:
    """Sends the storage id of a replica to all other initial voters."""

    def __init__(self, context: ReplicaContext, links: PeerLinks) -> None:
        """Prepare the introduction of one replica."""
        self._context = context
        self._options = context.options
        self._links = links

    async def run(self) -> None:
        """Return once all other initial voters have accepted the disk.

        Returns at once for a learner and for a replica that was admitted
        before. Never returns when another voter has stored a different storage
        id for this voter id.
        """
        identity = self._context.identity
        if identity.admitted or identity.learner:
            return
        for replica in self._options.initial:
            if replica.voter_id != self._options.voter_id:
                await self._introduce_to(replica.voter_id)
        while not await self._admit():
            await self._pause()

    async def _admit(self) -> bool:
        # The lock is held because requests of other replicas change the same
        # file.
        async with self._context.lock:
            failure = await self._context.store_identity(admitted=True)
        return failure is None

    async def _introduce_to(self, voter_id: str) -> None:
        request = Introduce(
            self._options.voter_id,
            self._context.identity.storage_id,
        )
        while True:
            reply = await self._links.call(
                voter_id,
                request,
                self._options.election_timeout_ms,
            )
            if isinstance(reply, Introduced):
                break
            await self._pause()
        if not reply.accepted:
            self._context.refuse_disk(
                voter_id,
                self._other_disk_detail(voter_id),
            )
            await trio.sleep_forever()

    async def _pause(self) -> None:
        await self._options.clock.sleep_ms(self._options.append_interval_ms)

    def _other_disk_detail(self, voter_id: str) -> str:
        own = self._options.voter_id
        return (
            f'{voter_id} knows {own} with another disk, so this disk was '
            'replaced or erased; start with a new voter_id and '
            'join_as_learner, then promote the learner'
        )
