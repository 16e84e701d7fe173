"""Handling of the consensus requests of other replicas."""

from __future__ import annotations

from borageward.control.consensus.applier import Applier
from borageward.control.consensus.context import ReplicaContext
from borageward.control.consensus.replicas import find_replica
from borageward.control.consensus.snapshots import SnapshotAssembly
from borageward.control.storage import Vote
from borageward.control.storage.errors import storage_failed
from borageward.failures import Failure, FailureReason
from borageward.messages.base import Rejected
from borageward.messages.consensus import (
    AddressedRequest,
    AppendEntries,
    AppendReply,
    ConsensusReply,
    ConsensusRequest,
    InstallSnapshot,
    Introduce,
    Introduced,
    LogEntry,
    RequestVote,
    VoteReply,
)


_OTHER_RECIPIENT = 'the request is for another voter id at this address'
_CLOSED = 'this replica has left the cluster'


class RequestHandler:
    """Serves votes, appends, snapshots and introductions.

    One request is served at a time, except for pre-votes, which change
    nothing.
    """

    def __init__(self, context: ReplicaContext, applier: Applier) -> None:
        """Create the handler of one replica."""
        self._context = context
        self._log = context.log
        self._applier = applier
        self._assembly = SnapshotAssembly()

    async def serve(self, request: ConsensusRequest) -> ConsensusReply:
        """Return the reply to a request.

        Returns ``Rejected`` when a write to the disk fails, when a snapshot
        cannot be decoded, when this replica is not admitted to the cluster and
        when the request is for another voter id.
        """
        if isinstance(request, AddressedRequest):
            if request.recipient not in {'', self._context.options.voter_id}:
                return Rejected(FailureReason.NO_QUORUM, _OTHER_RECIPIENT)
        if isinstance(request, RequestVote) and request.pre_vote:
            return VoteReply(self._context.term, self._would_grant(request))
        async with self._context.lock:
            if self._context.closed:
                return Rejected(FailureReason.NO_QUORUM, _CLOSED)
            reply = await self._serve(request)
        if self._context.failed:
            reply = storage_failed('the disk of this replica failed')
        return Rejected.of(reply) if isinstance(reply, Failure) else reply

    async def _serve(
        self,
        request: ConsensusRequest,
    ) -> ConsensusReply | Failure:
        if isinstance(request, RequestVote):
            return await self._serve_vote(request)
        if isinstance(request, Introduce):
            return await self._serve_introduction(request)
        return await self._serve_leader(request)

    def _would_grant(self, request: RequestVote) -> bool:
        if not self._context.may_grant_vote(request.storage_id):
            return False
        if self._context.hears_leader:
            return False
        if request.term < self._context.term:
            return False
        return self._log.is_up_to_date(request.last_index, request.last_term)

    async def _serve_vote(self, request: RequestVote) -> VoteReply | Failure:
        granted = self._would_grant(request)
        if request.term == self._context.term:
            granted = granted and self._context.candidate in {
                '',
                request.candidate,
            }
        if not granted:
            return VoteReply(self._context.term, granted=False)
        vote = Vote(request.term, request.candidate)
        failure = await self._context.store_vote(vote)
        if failure is not None:
            return failure
        self._context.become_follower('')
        self._record_contact()
        return VoteReply(self._context.term, granted=True)

    async def _serve_leader(
        self,
        request: AppendEntries | InstallSnapshot,
    ) -> AppendReply | Failure:
        if not self._context.may_store():
            return _not_admitted()
        if request.term < self._context.term:
            return self._reply(0, accepted=False)
        if request.term > self._context.term:
            failure = await self._context.store_vote(Vote(request.term))
            if failure is not None:
                return failure
        self._context.become_follower(request.leader)
        self._record_contact()
        if isinstance(request, InstallSnapshot):
            reply = await self._install_snapshot(request)
        else:
            reply = await self._append_entries(request)
        # The duration of a slow sync must not count as time without contact.
        self._record_contact()
        return reply

    async def _append_entries(
        self, request: AppendEntries
    ) -> AppendReply | Failure:
        retry_index = self._find_retry_index(request)
        if retry_index is not None:
            return self._reply(retry_index, accepted=False)
        self._append_missing(request.entries)
        failure = self._context.check_storage_result(await self._log.flush())
        if failure is not None:
            return failure
        match_index = request.previous_index + len(request.entries)
        self._applier.advance(min(request.commit_index, match_index))
        return self._reply(match_index, accepted=True)

    def _find_retry_index(self, request: AppendEntries) -> int | None:
        """Return the previous index that the leader has to try next.

        Returns ``None`` when the logs agree up to that of the request.
        """
        index = request.previous_index
        if index < self._log.base_index:
            # Entries that the snapshot covers are committed, so they agree.
            return None
        term = self._log.term_at(index)
        if term == request.previous_term:
            return None
        if term is None:
            return self._log.last_index
        while index > self._applier.commit_index:
            if self._log.term_at(index) != term:
                break
            index -= 1
        return index

    def _append_missing(self, entries: tuple[LogEntry, ...]) -> None:
        for number, entry in enumerate(entries):
            if entry.index <= self._applier.commit_index:
                continue
            term = self._log.term_at(entry.index)
            if term == entry.term:
                continue
            if term is not None:
                self._log.truncate(entry.index)
            self._log.append(entries[number:])
            return

    async def _install_snapshot(
        self,
        request: InstallSnapshot,
    ) -> AppendReply | Failure:
        if request.last_index <= self._applier.commit_index:
            return self._reply(self._applier.commit_index, accepted=True)
        if not self._assembly.add(request):
            return self._reply(0, accepted=False)
        if not request.final:
            return self._reply(0, accepted=True)
        snapshot = self._assembly.finish()
        if isinstance(snapshot, Failure):
            return snapshot
        stored = await self._log.install_snapshot(snapshot)
        failure = self._context.check_storage_result(stored)
        if failure is None:
            failure = self._context.check_storage_result(
                self._applier.restore(snapshot)
            )
        if failure is not None:
            return failure
        return self._reply(snapshot.index, accepted=True)

    async def _serve_introduction(
        self, request: Introduce
    ) -> Introduced | Failure:
        replicas = self._log.replicas
        replica = find_replica(replicas.replicas, request.voter_id)
        # A disk without a replica set has replaced that of an initial voter.
        # It cannot know the first disk of the sender, but the others do.
        if replica is None and replicas.replicas:
            return Introduced(accepted=False)
        if replica is not None and replica.storage_id:
            return Introduced(replica.storage_id == request.storage_id)
        known = self._context.identity.known
        storage_id = known.get(request.voter_id)
        if storage_id is not None:
            return Introduced(storage_id == request.storage_id)
        failure = await self._context.store_identity(
            known={**known, request.voter_id: request.storage_id},
        )
        return Introduced(accepted=True) if failure is None else failure

    def _reply(self, match_index: int, *, accepted: bool) -> AppendReply:
        return AppendReply(
            self._context.term,
            accepted,
            match_index,
            self._context.identity.storage_id,
        )

    def _record_contact(self) -> None:
        self._context.last_contact_ms = self._context.options.clock.now_ms()


def _not_admitted() -> Failure:
    return Failure(
        FailureReason.STORAGE_FAILED,
        'the disk of this replica is not known to the cluster yet',
    )
