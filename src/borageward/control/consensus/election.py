"""Elections: a trial vote first, then the vote."""

from __future__ import annotations

import trio

from borageward.clock import Milliseconds
from borageward.control.consensus.context import ReplicaContext, Role
from borageward.control.consensus.links import PeerLinks
from borageward.control.consensus.replicas import has_majority
from borageward.control.storage import Vote
from borageward.messages.consensus import RequestVote, VoteReply

# A failed trial is repeated soon: the others may have heard the lost leader a
# little later than this replica did.
_RETRY_MIN_SHARE = 0.1
_RETRY_MAX_SHARE = 0.5
# A replica that has just started waits for less than the election timeout, but
# for longer than a leader needs to reach it. If a leader is alive, the others
# hear it and refuse the trial vote.
_FIRST_MIN_SHARE = 0.3
_FIRST_MAX_SHARE = 0.8
# A remainder lost to rounding must not become a loop that never sleeps.
_MIN_SLEEP_MS = 1.0
_MS_PER_SECOND = 1000.0


class Election:
    """Waits for silence of the leader and stands for election."""

    def __init__(self, context: ReplicaContext, links: PeerLinks) -> None:
        """Prepare the elections of one replica."""
        self._context = context
        self._links = links
        self._options = context.options

    async def run(self, *, starting: bool = False) -> None:
        """Return once this replica has won an election.

        ``starting`` tells that the replica has not heard of any leader yet.
        """
        timeout_ms = self._election_timeout_ms()
        if starting:
            timeout_ms = min(timeout_ms, self._first_timeout_ms())
        while True:
            await self._wait_for_silence(timeout_ms)
            if await self._stand():
                return
            timeout_ms = self._retry_timeout_ms()

    def _election_timeout_ms(self) -> Milliseconds:
        if self._context.voters == (self._options.voter_id,):
            # Nobody else can lead.
            return 0
        base_ms = self._options.election_timeout_ms
        return self._options.source.uniform(base_ms, 2 * base_ms)

    def _first_timeout_ms(self) -> Milliseconds:
        return self._share_of_timeout_ms(_FIRST_MIN_SHARE, _FIRST_MAX_SHARE)

    def _retry_timeout_ms(self) -> Milliseconds:
        return self._share_of_timeout_ms(_RETRY_MIN_SHARE, _RETRY_MAX_SHARE)

    def _share_of_timeout_ms(self, least: float, most: float) -> Milliseconds:
        share = self._options.source.uniform(least, most)
        return self._options.election_timeout_ms * share

    async def _wait_for_silence(self, timeout_ms: Milliseconds) -> None:
        """Wait until nothing was heard of a leader for a timeout."""
        clock = self._options.clock
        await clock.sleep_ms(timeout_ms)
        while self._silent_ms() < timeout_ms:
            timeout_ms = self._election_timeout_ms()
            while self._silent_ms() < timeout_ms:
                remaining_ms = timeout_ms - self._silent_ms()
                await clock.sleep_ms(max(_MIN_SLEEP_MS, remaining_ms))

    def _silent_ms(self) -> Milliseconds:
        return self._options.clock.now_ms() - self._context.contact_ms

    async def _stand(self) -> bool:
        context = self._context
        if not context.may_vote() or context.failed:
            return False
        if context.disk_full and not await self._disk_takes_writes():
            return False
        term = context.term + 1
        if not await self._ask(term, pre_vote=True):
            return False
        async with context.lock:
            if not await self._vote_for_itself(term):
                return False
        won = await self._ask(term, pre_vote=False)
        async with context.lock:
            return self._finish(term, won=won)

    async def _disk_takes_writes(self) -> bool:
        failure = self._context.check(await self._context.log.probe())
        return failure is None

    async def _vote_for_itself(self, term: int) -> bool:
        """Store the own vote, unless a request was faster."""
        if self._context.term >= term or not self._context.may_vote():
            return False
        vote = Vote(term, self._options.voter_id)
        if await self._context.store_vote(vote) is not None:
            return False
        self._context.role = Role.CANDIDATE
        return True

    def _finish(self, term: int, *, won: bool) -> bool:
        context = self._context
        if context.term != term or context.role is not Role.CANDIDATE:
            return False
        if not won:
            context.follow('')
            return False
        context.role = Role.LEADER
        context.leader_id = self._options.voter_id
        context.changed.notify()
        return True

    async def _ask(self, term: int, *, pre_vote: bool) -> bool:
        """Ask all voters at once and return when a majority has granted."""
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
                for voter in self._others():
                    nursery.start_soon(
                        self._ask_one,
                        voter,
                        request,
                        granted,
                        nursery.cancel_scope,
                    )
        return has_majority(self._context.voters, granted)

    def _others(self) -> list[str]:
        own = self._options.voter_id
        return [voter for voter in self._context.voters if voter != own]

    async def _ask_one(
        self,
        voter: str,
        request: RequestVote,
        granted: set[str],
        scope: trio.CancelScope,
    ) -> None:
        reply = await self._links.call(
            voter,
            request,
            self._options.election_timeout_ms,
        )
        if not isinstance(reply, VoteReply):
            return
        if reply.granted:
            granted.add(voter)
            if has_majority(self._context.voters, granted):
                scope.cancel()
        elif reply.term > self._context.term:
            await self._adopt_term(reply.term)

    async def _adopt_term(self, term: int) -> None:
        """Follow a newer term, so that the next trial asks above it."""
        async with self._context.lock:
            if term > self._context.term:
                await self._context.store_vote(Vote(term))
