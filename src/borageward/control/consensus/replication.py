"""Replication to one other replica: one task, one request at a time."""

from __future__ import annotations

import msgspec
import trio

from borageward.clock import Milliseconds
from borageward.control.consensus.context import ReplicaContext
from borageward.control.consensus.links import PeerLinks
from borageward.control.consensus.progress import PeerProgress
from borageward.control.consensus.replicas import find_replica
from borageward.control.consensus.snapshots import PART_BYTES
from borageward.control.signals import Signal
from borageward.failures import Failure
from borageward.messages.consensus import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    LogEntry,
)

_MAX_BATCH_BYTES = 1_048_576
# The last part is answered once the whole snapshot is stored.
_SNAPSHOT_TIMEOUT_MS = 5000.0
_MS_PER_SECOND = 1000.0


class LeaderView:
    """What the replication tasks of one term share with the leader."""

    def __init__(self, term: int) -> None:
        """Start in a term, without rounds and acknowledgements."""
        self.term = term
        self.round = 0
        self.commit_index = 0
        # There is something to send.
        self.work = Signal()
        # A replica has answered.
        self.answered = Signal()
        self.newer_term = 0


class PeerReplicator:
    """Keeps one replica up to date and confirms rounds with it."""

    def __init__(
        self,
        voter_id: str,
        context: ReplicaContext,
        links: PeerLinks,
        progress: PeerProgress,
        view: LeaderView,
    ) -> None:
        """Prepare replication to a replica in the term of the view."""
        self._voter_id = voter_id
        self._context = context
        self._log = context.log
        self._links = links
        self._progress = progress
        self._view = view
        self._sent_commit = 0
        self._reachable = True

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            if self._progress.next_index <= self._log.base_index:
                await self._send_snapshot()
            else:
                await self._send_entries()
            await self._wait_for_work()

    async def _wait_for_work(self) -> None:
        interval_ms = self._context.options.append_interval_ms
        with trio.move_on_after(interval_ms / _MS_PER_SECOND):
            if not self._reachable:
                # Wait out the interval, so that a lost link is not flooded.
                await trio.sleep_forever()
            while not self._has_work():
                await self._view.work.wait()

    def _has_work(self) -> bool:
        if self._progress.next_index <= self._log.last_index:
            return True
        if self._progress.round < self._view.round:
            return True
        return self._sent_commit < self._view.commit_index

    async def _send_entries(self) -> None:
        next_index = self._progress.next_index
        entries: tuple[LogEntry, ...] = ()
        if next_index <= self._log.last_index:
            entries = self._log.entries_from(next_index, _MAX_BATCH_BYTES)
        commit_index = self._view.commit_index
        request = AppendEntries(
            self._view.term,
            self._context.options.voter_id,
            next_index - 1,
            self._log.term_at(next_index - 1) or 0,
            commit_index,
            entries,
        )
        reply = await self._call(request)
        if reply is None:
            return
        if reply.accepted:
            self._note_match(reply.match_index)
            self._sent_commit = commit_index
        else:
            # Go back at least one entry, or to where the replica's log ends.
            hint = min(reply.match_index + 1, next_index - 1)
            self._progress.next_index = max(1, hint)
        self._view.answered.notify()

    async def _send_snapshot(self) -> None:
        snapshot = await self._log.read_snapshot()
        if isinstance(snapshot, Failure) or snapshot is None:
            return
        document = msgspec.msgpack.encode(snapshot)
        for offset in range(0, len(document), PART_BYTES):
            part = document[offset : offset + PART_BYTES]
            reply = await self._call(
                InstallSnapshot(
                    self._view.term,
                    self._context.options.voter_id,
                    snapshot.index,
                    offset,
                    part,
                    final=offset + len(part) == len(document),
                ),
            )
            if reply is None or not reply.accepted:
                return
            self._view.answered.notify()
            if reply.match_index:
                self._note_match(reply.match_index)
                return

    def _note_match(self, match_index: int) -> None:
        self._progress.match_index = max(
            self._progress.match_index,
            match_index,
        )
        self._progress.next_index = self._progress.match_index + 1

    async def _call(
        self,
        request: AppendEntries | InstallSnapshot,
    ) -> AppendReply | None:
        """Return a reply of this term, and note that the replica follows."""
        options = self._context.options
        sent_round = self._view.round
        sent_ms = options.clock.now_ms()
        reply = await self._links.call(
            self._voter_id,
            request,
            self._timeout_ms(request),
        )
        self._reachable = isinstance(reply, AppendReply)
        if not isinstance(reply, AppendReply):
            return None
        if reply.term > self._view.term:
            self._view.newer_term = max(self._view.newer_term, reply.term)
            self._view.answered.notify()
            return None
        if not self._is_right_disk(reply.storage_id):
            self._reachable = False
            return None
        self._progress.round = max(self._progress.round, sent_round)
        self._progress.sent_ms = max(self._progress.sent_ms, sent_ms)
        return reply

    def _timeout_ms(
        self,
        request: AppendEntries | InstallSnapshot,
    ) -> Milliseconds:
        if isinstance(request, InstallSnapshot):
            return _SNAPSHOT_TIMEOUT_MS
        # A request that is lost silently is repeated before the replica
        # stands for election.
        return self._context.options.election_timeout_ms / 2

    def _is_right_disk(self, storage_id: bytes) -> bool:
        """Tell whether an answer comes from the disk that holds the vote.

        A learner whose disk was replaced starts again from nothing.
        """
        expected = self._bound_storage()
        if expected and expected != storage_id:
            self._context.options.log.warning(
                'replica_has_another_disk',
                replica=self._voter_id,
            )
            return False
        if self._progress.storage_id not in {b'', storage_id}:
            self._progress.match_index = 0
            self._progress.next_index = 1
        self._progress.storage_id = storage_id
        return True

    def _bound_storage(self) -> bytes:
        replica = find_replica(self._log.replicas.replicas, self._voter_id)
        if replica is None or not replica.voter:
            return b''
        known = self._context.identity.known
        return replica.storage_id or known.get(self._voter_id, b'')
