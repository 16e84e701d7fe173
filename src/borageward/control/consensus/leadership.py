"""Work of the leader during one term."""

from __future__ import annotations

import msgspec
import trio

from borageward.control.consensus.applier import Applier
from borageward.control.consensus.context import ReplicaContext, Role
from borageward.control.consensus.exchange import complete_exchange
from borageward.control.consensus.links import PeerLinks
from borageward.control.consensus.progress import ProgressTable
from borageward.control.consensus.replicas import bind_storage
from borageward.control.consensus.replication import (
    LeaderState,
    PeerReplicator,
)
from borageward.control.signals import Signal
from borageward.control.state import StateReply
from borageward.control.storage import Vote
from borageward.failures import Failure, FailureReason
from borageward.messages.consensus import (
    LogCommand,
    LogEntry,
    SetJointReplicas,
    SetReplicas,
    StartTerm,
)

_MAJORITY_CHECKS_PER_TIMEOUT = 8


class Leadership:
    """Appends, replicates and commits entries while this replica leads."""

    def __init__(
        self,
        context: ReplicaContext,
        applier: Applier,
        links: PeerLinks,
    ) -> None:
        """Prepare to lead in the current term of the context."""
        self._context = context
        self._options = context.options
        self._log = context.log
        self._applier = applier
        self._links = links
        self._leader_state = LeaderState(context.term)
        self._leader_state.commit_index = applier.commit_index
        self._progress = ProgressTable(context.options.voter_id)
        self._appended = Signal()
        self._term_start_index = 0
        self._replicator_scopes: dict[str, trio.CancelScope] = {}

    @property
    def term(self) -> int:
        """Return the term of this leadership."""
        return self._leader_state.term

    @property
    def progress(self) -> ProgressTable:
        """Return the replication progress of the other replicas."""
        return self._progress

    @property
    def is_active(self) -> bool:
        """Return whether this replica still leads in this term."""
        if self._context.failed or self._context.closed:
            return False
        if self._context.term != self.term:
            return False
        return self._context.role is Role.LEADER

    @property
    def is_ready(self) -> bool:
        """Return whether the first entry of this term is committed.

        Only then has this replica applied every entry that an earlier leader
        acknowledged.
        """
        if self._term_start_index == 0:
            return False
        return self._applier.commit_index >= self._term_start_index

    async def run(self) -> None:
        """Lead until the term changes or the majority is lost."""
        self._options.log.event('leader_started', term=self.term)
        self._append(
            StartTerm(
                self._options.claim_retention_ms,
                self._options.clock_skew_ms,
            ),
        )
        self._term_start_index = self._log.last_index
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write_log)
            nursery.start_soon(self._advance_commit)
            nursery.start_soon(self._watch_majority)
            nursery.start_soon(self._run_replicators)
            while self.is_active:
                await self._context.changed.wait()
            nursery.cancel_scope.cancel()
        self._leader_state.progress_changed.notify()
        self._options.log.event('leader_stopped', term=self.term)

    async def propose(self, command: LogCommand) -> StateReply | Failure:
        """Append a command and return its reply once it is committed.

        Returns ``NO_QUORUM`` when this replica does not lead or stops leading
        before the entry is applied; the entry may still be committed later.
        """
        if not self.is_active:
            return _no_quorum()
        index = self._append(command)
        return await self._applier.wait_for(index, self.term)

    async def confirm_leadership(self) -> Failure | None:
        """Return once a majority has confirmed that this replica leads.

        Only replies to requests that were sent after the call count, so a
        read that follows sees everything that was acknowledged before the
        call. Returns ``NO_QUORUM`` when leadership is lost.
        """
        self._leader_state.round += 1
        target_round = self._leader_state.round
        self._leader_state.work_available.notify()
        while not self._is_confirmed(target_round):
            if not self.is_active:
                return _no_quorum()
            await self._leader_state.progress_changed.wait()
        return None if self.is_active else _no_quorum()

    async def wait_for_exchange(self) -> Failure | None:
        """Return once an exchange of voters has been completed.

        Returns ``NO_QUORUM`` when leadership is lost before.
        """
        while isinstance(self._log.replicas, SetJointReplicas) or (
            self._applier.commit_index < self._log.replicas_index
        ):
            if not self.is_active:
                return _no_quorum()
            await self._leader_state.progress_changed.wait()
        return None

    def step_down(self) -> None:
        """Stop leading in this term."""
        if self.is_active:
            self._context.become_follower('')

    def _is_confirmed(self, target_round: int) -> bool:
        confirmed = self._progress.confirmed_round(
            self._context.voter_sets,
            self._leader_state.round,
        )
        return self.is_ready and confirmed >= target_round

    def _append(self, command: LogCommand) -> int:
        wall_ms = max(self._log.last_wall_ms, self._options.clock.wall_ms())
        index = self._log.last_index + 1
        payload = msgspec.msgpack.encode(command)
        self._log.append((LogEntry(index, self.term, wall_ms, payload),))
        self._appended.notify()
        self._leader_state.work_available.notify()
        return index

    async def _write_log(self) -> None:
        while self.is_active:
            if self._log.synced_index == self._log.last_index:
                await self._appended.wait()
            failure = self._context.check_storage_result(
                await self._log.flush()
            )
            if failure is not None:
                # Step down, so that a replica with a working disk can lead.
                self.step_down()
                return
            self._leader_state.progress_changed.notify()

    async def _advance_commit(self) -> None:
        while self.is_active:
            if self._leader_state.newer_term > self.term:
                await self._adopt_term(self._leader_state.newer_term)
                return
            self._commit_entries()
            await self._leader_state.progress_changed.wait()

    def _commit_entries(self) -> None:
        commit_index = self._progress.match_index(
            self._context.voter_sets,
            self._log.synced_index,
        )
        # Only an entry of this term may be committed by counting replicas;
        # it commits all entries before it, too. A majority may hold an entry
        # of an earlier term that a later leader can still replace.
        if self._log.term_at(commit_index) != self.term:
            return
        if commit_index > self._applier.commit_index:
            self._applier.advance(commit_index)
            self._leader_state.commit_index = commit_index
            self._leader_state.work_available.notify()
            self._leader_state.progress_changed.notify()
            self._step_down_when_removed(commit_index)
        self._append_next_replicas()

    def _step_down_when_removed(self, commit_index: int) -> None:
        if commit_index < self._log.replicas_index:
            return
        if self._options.voter_id not in self._context.voters:
            self.step_down()

    def _append_next_replicas(self) -> None:
        """Append the replica set that follows the newest one by itself.

        A leader that has found an exchange of voters in its log completes it,
        too.
        """
        if self._applier.commit_index < self._log.replicas_index:
            return
        current = self._log.replicas
        following: SetReplicas | None
        if isinstance(current, SetJointReplicas):
            following = complete_exchange(current)
        else:
            following = bind_storage(current, self._storage_ids())
        if following is not None:
            self._append(following)

    def _storage_ids(self) -> dict[str, bytes]:
        """Return the storage ids, by voter id, that this replica knows."""
        identity = self._context.identity
        return {
            **identity.known,
            **self._progress.storage_ids(),
            identity.voter_id: identity.storage_id,
        }

    async def _adopt_term(self, term: int) -> None:
        async with self._context.lock:
            if term > self._context.term:
                await self._context.store_vote(Vote(term))
            self._context.become_follower(self._context.leader_id)

    async def _watch_majority(self) -> None:
        """Step down after an election timeout without a majority's replies."""
        timeout_ms = self._options.election_timeout_ms
        while self.is_active:
            await self._options.clock.sleep_ms(
                timeout_ms / _MAJORITY_CHECKS_PER_TIMEOUT,
            )
            now_ms = self._options.clock.now_ms()
            confirmed_ms = self._progress.confirmed_ms(
                self._context.voter_sets,
                now_ms,
            )
            if now_ms - confirmed_ms > timeout_ms:
                self._options.log.warning('majority_lost', term=self.term)
                self.step_down()

    async def _run_replicators(self) -> None:
        """Run one task for each other replica of the newest replica set."""
        async with trio.open_nursery() as nursery:
            while True:
                self._stop_removed_replicators()
                for voter_id in self._replicas_to_start():
                    scope = trio.CancelScope()
                    self._replicator_scopes[voter_id] = scope
                    nursery.start_soon(self._replicate, voter_id, scope)
                await self._appended.wait()

    def _replicas_to_start(self) -> list[str]:
        own = self._options.voter_id
        ids = [rep.voter_id for rep in self._log.replicas.replicas]
        return [
            voter_id
            for voter_id in ids
            if voter_id != own and voter_id not in self._replicator_scopes
        ]

    def _stop_removed_replicators(self) -> None:
        # Replication to a removed replica goes on until its removal is
        # committed.
        if self._applier.commit_index < self._log.replicas_index:
            return
        ids = {rep.voter_id for rep in self._log.replicas.replicas}
        removed = [
            voter for voter in self._replicator_scopes if voter not in ids
        ]
        for voter_id in removed:
            self._replicator_scopes.pop(voter_id).cancel()
        self._progress.remove(removed)

    async def _replicate(
        self,
        voter_id: str,
        scope: trio.CancelScope,
    ) -> None:
        progress = self._progress.get_or_create(
            voter_id,
            self._log.last_index,
            self._options.clock.now_ms(),
        )
        replicator = PeerReplicator(
            voter_id,
            self._context,
            self._links,
            progress,
            self._leader_state,
        )
        with scope:
            await replicator.run()


def _no_quorum() -> Failure:
    return Failure(
        FailureReason.NO_QUORUM,
        'this replica is not the leader, or lost its majority',
    )
