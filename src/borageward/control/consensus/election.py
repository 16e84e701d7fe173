"""Leader election with a pre-vote.

In the pre-vote, a replica asks whether the others would vote for it. It starts
a new term only when a majority agrees, so that a replica that was cut off does
not end the term of a working leader.
"""

from __future__ import annotations

import msgspec
import trio

from borageward.clock import Milliseconds
from borageward.control.consensus.context import ReplicaContext, Role
from borageward.control.consensus.links import PeerLinks
from borageward.control.consensus.majorities import has_majority
from borageward.control.consensus.replicas import find_replica
from borageward.control.storage import Vote
from borageward.messages.consensus import RequestVote, VoteReply

# Limits, as shares of the election timeout, of the wait before a failed
# election is repeated. It is short because the other replicas may have had
# contact with the lost leader a little later than this one.
_RETRY_TIMEOUT_MIN_SHARE = 0.1
_RETRY_TIMEOUT_MAX_SHARE = 0.5
# Limits, as shares of the election timeout, of the wait before the first
# election after a start. It is shorter than the election timeout, but longer
# than a leader needs to contact the new replica. While a leader is alive, the
# other replicas are in contact with it and refuse the pre-vote.
_FIRST_TIMEOUT_MIN_SHARE = 0.3
_FIRST_TIMEOUT_MAX_SHARE = 0.8
# The remaining wait is negative when the contact was long ago, for example
# after the process was suspended.
_MIN_SLEEP_MS = 1.0
_MS_PER_SECOND = 1000.0


class Election:
    """Starts elections when no leader has been in contact for a timeout."""

    def __init__(self, context: ReplicaContext, links: PeerLinks) -> None:
        """Prepare the elections of one replica."""
        self._context = context
        self._links = links
        self._options = context.options

    async def run(self, *, starting: bool = False) -> None:
        """Return once this replica has won an election.

        ``starting`` means that the replica has had no contact with a leader
        since it started; its first timeout is then shorter.
        """
        timeout_ms = self._election_timeout_ms()
        if starting:
            timeout_ms = min(timeout_ms, self._first_timeout_ms())
        while True:
            await self._wait_for_election_timeout(timeout_ms)
            if await self._campaign():
                return
            timeout_ms = self._retry_timeout_ms()

    def _election_timeout_ms(self) -> Milliseconds:
        if self._context.voters == (self._options.voter_id,):
            # The only voter has no other leader to wait for.
            return 0
        base_ms = self._options.election_timeout_ms
        return self._options.source.uniform(base_ms, 2 * base_ms)

    def _first_timeout_ms(self) -> Milliseconds:
        return self._random_timeout_ms(
            _FIRST_TIMEOUT_MIN_SHARE, _FIRST_TIMEOUT_MAX_SHARE
        )

    def _retry_timeout_ms(self) -> Milliseconds:
        return self._random_timeout_ms(
            _RETRY_TIMEOUT_MIN_SHARE, _RETRY_TIMEOUT_MAX_SHARE
        )

    def _random_timeout_ms(
        self, min_share: float, max_share: float
    ) -> Milliseconds:
        share = self._options.source.uniform(min_share, max_share)
        return self._options.election_timeout_ms * share

    async def _wait_for_election_timeout(
        self, timeout_ms: Milliseconds
    ) -> None:
        """Wait until there was no contact with a leader for a timeout.

        The contacts themselves are compared, not their age: rounding can make
        the age slightly less than the time that was waited.
        """
        context = self._context
        clock = self._options.clock
        contact_ms = context.last_contact_ms
        await clock.sleep_ms(timeout_ms)
        while context.last_contact_ms > contact_ms:
            contact_ms = context.last_contact_ms
            remaining_ms = (
                self._election_timeout_ms() - self._since_contact_ms()
            )
            await clock.sleep_ms(max(_MIN_SLEEP_MS, remaining_ms))

    def _since_contact_ms(self) -> Milliseconds:
        return self._options.clock.now_ms() - self._context.last_contact_ms

    async def _campaign(self) -> bool:
        context = self._context
        if not context.may_stand() or context.failed:
            return False
        if context.disk_full and not await self._disk_takes_writes():
            return False
        term = context.term + 1
        if not await self._request_votes(term, pre_vote=True):
            return False
        async with context.lock:
            if not await self._vote_for_itself(term):
                return False
        won = await self._request_votes(term, pre_vote=False)
        async with context.lock:
            return self._finish_election(term, won=won)

    async def _disk_takes_writes(self) -> bool:
        failure = self._context.check_storage_result(
            await self._context.log.probe_disk()
        )
        return failure is None

    async def _vote_for_itself(self, term: int) -> bool:
        """Store a vote for itself, unless the term has advanced meanwhile."""
        if self._context.term >= term or not self._context.may_stand():
            return False
        vote = Vote(term, self._options.voter_id)
        if await self._context.store_vote(vote) is not None:
            return False
        self._context.role = Role.CANDIDATE
        return True

    def _finish_election(self, term: int, *, won: bool) -> bool:
        context = self._context
        if context.term != term or context.role is not Role.CANDIDATE:
            return False
        if not won:
            context.become_follower('')
            return False
        context.role = Role.LEADER
        context.leader_id = self._options.voter_id
        context.changed.notify()
        return True

    async def _request_votes(self, term: int, *, pre_vote: bool) -> bool:
        """Request the votes of all voters concurrently.

        Returns true as soon as a majority has granted its vote, and false
        when all have replied or the election timeout has passed.
        """
        log = self._context.log
        request = RequestVote(
            term,
            self._options.voter_id,
            log.last_index,
            log.last_term,
            pre_vote,
        )
        granted = {self._options.voter_id}
        timeout_ms = self._options.election_timeout_ms
        with trio.move_on_after(timeout_ms / _MS_PER_SECOND):
            async with trio.open_nursery() as nursery:
                for voter in self._other_voters():
                    nursery.start_soon(
                        self._request_vote,
                        voter,
                        request,
                        granted,
                        nursery.cancel_scope,
                    )
        return has_majority(self._context.voter_sets, granted)

    def _other_voters(self) -> list[str]:
        own = self._options.voter_id
        return [voter for voter in self._context.voters if voter != own]

    async def _request_vote(
        self,
        voter: str,
        request: RequestVote,
        granted: set[str],
        scope: trio.CancelScope,
    ) -> None:
        counted = find_replica(self._context.log.replicas.replicas, voter)
        reply = await self._links.call(
            voter,
            msgspec.structs.replace(
                request,
                storage_id=b'' if counted is None else counted.storage_id,
            ),
            self._options.election_timeout_ms,
        )
        if not isinstance(reply, VoteReply):
            return
        if reply.granted:
            granted.add(voter)
            if has_majority(self._context.voter_sets, granted):
                scope.cancel()
        elif reply.term > self._context.term:
            await self._adopt_term(reply.term)

    async def _adopt_term(self, term: int) -> None:
        """Store a newer term, so that the next election uses a higher one."""
        async with self._context.lock:
            if term > self._context.term:
                await self._context.store_vote(Vote(term))
