"""Replication of the leader's log to one other replica."""

from __future__ import annotations

import msgspec
import trio

from borageward.clock import Milliseconds
from borageward.control.consensus.context import ReplicaContext
from borageward.control.consensus.links import PeerLinks
from borageward.control.consensus.majorities import has_vote
from borageward.control.consensus.progress import PeerProgress
from borageward.control.consensus.replicas import find_replica
from borageward.control.consensus.snapshots import SNAPSHOT_PART_BYTES
from borageward.control.signals import Signal
from borageward.failures import Failure
from borageward.messages.consensus import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    LogEntry,
)

_MAX_BATCH_BYTES = 1_048_576
# Longer than the timeout for entries, because the last part of a snapshot is
# answered only when the whole snapshot is on the disk.
_SNAPSHOT_TIMEOUT_MS = 5000.0
_MS_PER_SECOND = 1000.0


class LeaderState:
    """State of one term that the leader shares with its replication tasks."""

    def __init__(self, term: int) -> None:
        """Start with no confirmation requested and nothing committed."""
        self.term = term
        # Number of the newest request to confirm the leadership.
        self.round = 0
        self.commit_index = 0
        # Notified when there is something to send to the replicas.
        self.work_available = Signal()
        # Notified when a replica has replied or the own log has advanced.
        self.progress_changed = Signal()
        # Highest term in a reply that is above the own one, or 0.
        self.newer_term = 0


class PeerReplicator:
    """Sends entries, snapshots and heartbeats to one replica.

    There is one request at a time. Its reply also confirms the leadership
    for all rounds that were started before it was sent.
    """

    def __init__(
        self,
        voter_id: str,
        context: ReplicaContext,
        links: PeerLinks,
        progress: PeerProgress,
        leader_state: LeaderState,
    ) -> None:
        """Prepare replication to a replica in the term of the leader."""
        self._voter_id = voter_id
        self._context = context
        self._log = context.log
        self._links = links
        self._progress = progress
        self._leader_state = leader_state
        self._sent_commit_index = 0
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
                # Wait for the whole interval even if there is work, so that a
                # broken link is not flooded with requests.
                await trio.sleep_forever()
            while not self._has_work():
                await self._leader_state.work_available.wait()

    def _has_work(self) -> bool:
        if self._progress.next_index <= self._last_index():
            return True
        if self._progress.answered_round < self._leader_state.round:
            return True
        return self._sent_commit_index < self._leader_state.commit_index

    async def _send_entries(self) -> None:
        next_index = self._progress.next_index
        entries: tuple[LogEntry, ...] = ()
        last_index = self._last_index()
        if next_index <= last_index:
            entries = self._log.entries_between(
                next_index,
                last_index,
                _MAX_BATCH_BYTES,
            )
        commit_index = self._leader_state.commit_index
        request = AppendEntries(
            self._leader_state.term,
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
            self._record_match(reply.match_index)
            self._sent_commit_index = commit_index
            self._progress.answered_commit_index = commit_index
        else:
            # Go back by one entry at least, or to the index that the replica
            # asks for.
            retry_index = min(reply.match_index + 1, next_index - 1)
            self._progress.next_index = max(1, retry_index)
        self._leader_state.progress_changed.notify()

    def _last_index(self) -> int:
        """Return the index of the last entry to send.

        A replica without a vote gets committed entries only. A leader to come
        may count it as a voter, by an exchange that this leader doesn't know
        of, and it could refuse its vote for the sake of entries that nobody
        needs.
        """
        if has_vote(self._log.replicas, self._voter_id):
            return self._log.last_index
        return self._leader_state.commit_index

    async def _send_snapshot(self) -> None:
        snapshot = await self._log.read_snapshot()
        if isinstance(snapshot, Failure) or snapshot is None:
            return
        document = msgspec.msgpack.encode(snapshot)
        for offset in range(0, len(document), SNAPSHOT_PART_BYTES):
            part = document[offset : offset + SNAPSHOT_PART_BYTES]
            reply = await self._call(
                InstallSnapshot(
                    self._leader_state.term,
                    self._context.options.voter_id,
                    snapshot.index,
                    offset,
                    part,
                    final=offset + len(part) == len(document),
                ),
            )
            if reply is None or not reply.accepted:
                return
            self._leader_state.progress_changed.notify()
            if reply.match_index:
                self._record_match(reply.match_index)
                return

    def _record_match(self, match_index: int) -> None:
        self._progress.match_index = max(
            self._progress.match_index,
            match_index,
        )
        self._progress.next_index = self._progress.match_index + 1

    async def _call(
        self,
        request: AppendEntries | InstallSnapshot,
    ) -> AppendReply | None:
        """Send a request and record what its reply confirms.

        Returns ``None`` when there is no reply, when it has a newer term and
        when it comes from another disk than that of the replica.
        """
        options = self._context.options
        sent_round = self._leader_state.round
        sent_ms = options.clock.now_ms()
        reply = await self._links.call(
            self._voter_id,
            request,
            self._timeout_ms(request),
        )
        self._reachable = isinstance(reply, AppendReply)
        if not isinstance(reply, AppendReply):
            return None
        if reply.term > self._leader_state.term:
            self._leader_state.newer_term = max(
                self._leader_state.newer_term, reply.term
            )
            self._leader_state.progress_changed.notify()
            return None
        if not self._is_expected_disk(reply.storage_id):
            self._reachable = False
            return None
        self._progress.answered_round = max(
            self._progress.answered_round, sent_round
        )
        self._progress.answered_sent_ms = max(
            self._progress.answered_sent_ms, sent_ms
        )
        return reply

    def _timeout_ms(
        self,
        request: AppendEntries | InstallSnapshot,
    ) -> Milliseconds:
        if isinstance(request, InstallSnapshot):
            return _SNAPSHOT_TIMEOUT_MS
        # A request that was lost has to be repeated before the replica's
        # election timeout ends.
        return self._context.options.election_timeout_ms / 2

    def _is_expected_disk(self, storage_id: bytes) -> bool:
        """Return whether a reply comes from the disk a voter is bound to.

        Any disk is accepted for a learner. When the disk of a learner was
        replaced, replication starts again from the first entry.
        """
        expected = self._expected_storage_id()
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

    def _expected_storage_id(self) -> bytes:
        replica = find_replica(self._log.replicas.replicas, self._voter_id)
        if replica is None:
            return b''
        if replica.storage_id or self._voter_id not in self._context.voters:
            return replica.storage_id
        return self._context.identity.known.get(self._voter_id, b'')
