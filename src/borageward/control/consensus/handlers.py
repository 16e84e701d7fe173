"""Answers to the requests of other replicas."""

from __future__ import annotations

from borageward.control.consensus.applier import Applier
from borageward.control.consensus.context import ReplicaContext, Role
from borageward.control.consensus.replicas import find_replica
from borageward.control.consensus.snapshots import SnapshotAssembly
from borageward.control.storage import Vote
from borageward.control.storage.errors import storage_failed
from borageward.failures import Failure, FailureReason
from borageward.messages.base import Rejected
from borageward.messages.consensus import (
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


class RequestHandler:
    """Votes, appends and snapshots, one request at a time."""

    def __init__(self, context: ReplicaContext, applier: Applier) -> None:
        """Prepare to serve for one replica."""
        self._context = context
        self._log = context.log
        self._applier = applier
        self._assembly = SnapshotAssembly()

    async def serve(self, request: ConsensusRequest) -> ConsensusReply:
        """Return the reply, ``Rejected`` when the disk does not allow one."""
        if isinstance(request, RequestVote) and request.pre_vote:
            return VoteReply(self._context.term, self._would_grant(request))
        async with self._context.lock:
            reply = await self._serve(request)
        if self._context.failed:
            reply = storage_failed('the disk of this replica failed')
        return Rejected.of(reply) if isinstance(reply, Failure) else reply

    async def _serve(
        self,
        request: ConsensusRequest,
    ) -> ConsensusReply | Failure:
        if isinstance(request, RequestVote):
            return await self._vote(request)
        if isinstance(request, Introduce):
            return await self._introduce(request)
        return await self._follow(request)

    def _would_grant(self, request: RequestVote) -> bool:
        if not self._context.may_vote() or self._hears_leader():
            return False
        if request.term < self._context.term:
            return False
        return self._log.is_as_new(request.last_index, request.last_term)

    def _hears_leader(self) -> bool:
        """Tell whether a leader is alive, so that no other is needed."""
        if self._context.role is Role.LEADER:
            return True
        if not self._context.leader_id:
            return False
        options = self._context.options
        silent_ms = options.clock.now_ms() - self._context.contact_ms
        return silent_ms < options.election_timeout_ms

    async def _vote(self, request: RequestVote) -> VoteReply | Failure:
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
        self._context.follow('')
        self._touch()
        return VoteReply(self._context.term, granted=True)

    async def _follow(
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
        self._context.follow(request.leader)
        self._touch()
        if isinstance(request, InstallSnapshot):
            reply = await self._install(request)
        else:
            reply = await self._append(request)
        # The time of a slow sync does not count as silence of the leader.
        self._touch()
        return reply

    async def _append(self, request: AppendEntries) -> AppendReply | Failure:
        hint = self._mismatch(request)
        if hint is not None:
            return self._reply(hint, accepted=False)
        self._take_entries(request.entries)
        failure = self._context.check(await self._log.flush())
        if failure is not None:
            return failure
        match_index = request.previous_index + len(request.entries)
        self._applier.advance(min(request.commit_index, match_index))
        return self._reply(match_index, accepted=True)

    def _mismatch(self, request: AppendEntries) -> int | None:
        """Return the index to try next, or nothing when the logs agree."""
        index = request.previous_index
        if index < self._log.base_index:
            # Everything up to the snapshot is committed and thus agrees.
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

    def _take_entries(self, entries: tuple[LogEntry, ...]) -> None:
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

    async def _install(
        self,
        request: InstallSnapshot,
    ) -> AppendReply | Failure:
        if request.last_index <= self._applier.commit_index:
            return self._reply(self._applier.commit_index, accepted=True)
        if not self._assembly.add(request):
            return self._reply(0, accepted=False)
        if not request.final:
            return self._reply(0, accepted=True)
        snapshot = self._assembly.take()
        if isinstance(snapshot, Failure):
            return snapshot
        stored = await self._log.install_snapshot(snapshot)
        failure = self._context.check(stored)
        if failure is None:
            failure = self._context.check(self._applier.restore(snapshot))
        if failure is not None:
            return failure
        return self._reply(snapshot.index, accepted=True)

    async def _introduce(self, request: Introduce) -> Introduced | Failure:
        replicas = self._log.replicas
        replica = find_replica(replicas.replicas, request.voter_id)
        if replica is None or request.voter_id in replicas.retired:
            return Introduced(accepted=False)
        if replica.storage_id:
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

    def _touch(self) -> None:
        self._context.contact_ms = self._context.options.clock.now_ms()


def _not_admitted() -> Failure:
    return Failure(
        FailureReason.STORAGE_FAILED,
        'this disk is not known to the cluster yet',
    )
