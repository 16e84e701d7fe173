"""First start of an initial voter.

An empty disk is either that of a new cluster or a lost one. Every other
initial voter remembers the first disk of each id, so a lost disk is refused
by any of them that still has its own.
"""

from __future__ import annotations

import trio

from borageward.control.consensus.context import ReplicaContext
from borageward.control.consensus.links import PeerLinks
from borageward.control.storage.errors import storage_failed
from borageward.messages.consensus import Introduce, Introduced


class Introduction:
    """Introduces the disk of a replica to all other initial voters."""

    def __init__(self, context: ReplicaContext, links: PeerLinks) -> None:
        """Prepare the introduction of one replica."""
        self._context = context
        self._options = context.options
        self._links = links

    async def run(self) -> None:
        """Return once the disk may hold a vote, at once for a learner.

        The replica fails when its id is known with another disk.
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
        # Requests store identities of other replicas in the same file.
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
            self._context.check(storage_failed(self._lost_disk(voter_id)))
            await trio.sleep_forever()

    async def _pause(self) -> None:
        await self._options.clock.sleep_ms(self._options.append_interval_ms)

    def _lost_disk(self, voter_id: str) -> str:
        own = self._options.voter_id
        return (
            f'{voter_id} knows {own} with another disk; start with a new '
            'voter_id and join_as_learner, then promote the learner'
        )
