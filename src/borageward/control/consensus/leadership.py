"""One term as the leader."""

from __future__ import annotations

import msgspec
import trio

from borageward.control.consensus.applier import Applier
from borageward.control.consensus.context import ReplicaContext, Role
from borageward.control.consensus.links import PeerLinks
from borageward.control.consensus.progress import ProgressTable
from borageward.control.consensus.replicas import bind_storage
from borageward.control.consensus.replication import (
    LeaderView,
    PeerReplicator,
)
from borageward.control.signals import Signal
from borageward.control.state import StateReply
from borageward.control.storage import Vote
from borageward.failures import Failure, FailureReason
from borageward.messages.consensus import LogCommand, LogEntry, StartTerm

_CHECKS_PER_TIMEOUT = 8


class Leadership:
    """Appends, replicates and commits entries until another leader rules."""

    def __init__(
        self,
        context: ReplicaContext,
        applier: Applier,
        links: PeerLinks,
    ) -> None:
        """Prepare to lead in the context's term."""
        self._context = context
        self._options = context.options
        self._log = context.log
        self._applier = applier
        self._links = links
        self._view = LeaderView(context.term)
        self._view.commit_index = applier.commit_index
        self._progress = ProgressTable(context.options.voter_id)
        self._appended = Signal()
        self._start_index = 0
        self._scopes: dict[str, trio.CancelScope] = {}

    @property
    def term(self) -> int:
        """Return the term."""
        return self._view.term

    @property
    def progress(self) -> ProgressTable:
        """Return the progress of the other replicas."""
        return self._progress

    @property
    def is_active(self) -> bool:
        """Tell whether this replica still leads in this term."""
        if self._context.failed or self._context.term != self.term:
            return False
        return self._context.role is Role.LEADER

    @property
    def is_ready(self) -> bool:
        """Tell whether an entry of this term is committed.

        Only then everything that earlier leaders acknowledged is applied.
        """
        if self._start_index == 0:
            return False
        return self._applier.commit_index >= self._start_index

    async def run(self) -> None:
        """Lead until the term or the majority is lost."""
        self._options.log.event('leader_started', term=self.term)
        self._append(
            StartTerm(
                self._options.claim_retention_ms,
                self._options.clock_skew_ms,
            ),
        )
        self._start_index = self._log.last_index
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write_log)
            nursery.start_soon(self._advance_commit)
            nursery.start_soon(self._watch_majority)
            nursery.start_soon(self._run_replicators)
            while self.is_active:
                await self._context.changed.wait()
            nursery.cancel_scope.cancel()
        self._view.answered.notify()
        self._options.log.event('leader_stopped', term=self.term)

    async def propose(self, command: LogCommand) -> StateReply | Failure:
        """Return the reply to a command that a majority has synced."""
        if not self.is_active:
            return _no_quorum()
        index = self._append(command)
        return await self._applier.wait_for(index, self.term)

    async def confirm_leadership(self) -> Failure | None:
        """Confirm with a majority that was asked after the call."""
        self._view.round += 1
        target = self._view.round
        self._view.work.notify()
        while not self._is_confirmed(target):
            if not self.is_active:
                return _no_quorum()
            await self._view.answered.wait()
        return None if self.is_active else _no_quorum()

    def step_down(self) -> None:
        """Stop leading in this term."""
        if self.is_active:
            self._context.follow('')

    def _is_confirmed(self, target: int) -> bool:
        voters = self._context.voters
        confirmed = self._progress.confirmed_round(voters, self._view.round)
        return self.is_ready and confirmed >= target

    def _append(self, command: LogCommand) -> int:
        wall_ms = max(self._log.last_wall_ms, self._options.clock.wall_ms())
        index = self._log.last_index + 1
        payload = msgspec.msgpack.encode(command)
        self._log.append((LogEntry(index, self.term, wall_ms, payload),))
        self._appended.notify()
        self._view.work.notify()
        return index

    async def _write_log(self) -> None:
        while self.is_active:
            if self._log.synced_index == self._log.last_index:
                await self._appended.wait()
            failure = self._context.check(await self._log.flush())
            if failure is not None:
                # Another replica can lead; this one cannot store its entries.
                self.step_down()
                return
            self._view.answered.notify()

    async def _advance_commit(self) -> None:
        while self.is_active:
            if self._view.newer_term > self.term:
                await self._adopt_term(self._view.newer_term)
                return
            self._commit()
            await self._view.answered.wait()

    def _commit(self) -> None:
        commit_index = self._progress.match_index(
            self._context.voters,
            self._log.synced_index,
        )
        # Entries of earlier terms are committed through one of this term.
        if self._log.term_at(commit_index) != self.term:
            return
        if commit_index > self._applier.commit_index:
            self._applier.advance(commit_index)
            self._view.commit_index = commit_index
            self._view.work.notify()
            self._view.answered.notify()
            self._step_down_when_removed(commit_index)
        self._bind_storage()

    def _step_down_when_removed(self, commit_index: int) -> None:
        if commit_index < self._log.replicas_index:
            return
        if self._options.voter_id not in self._context.voters:
            self.step_down()

    def _bind_storage(self) -> None:
        """Log the disks of the initial voters once all are known."""
        if self._applier.commit_index < self._log.replicas_index:
            return
        current = self._log.replicas
        identity = self._context.identity
        storage = {
            **identity.known,
            **self._progress.storage_ids(),
            identity.voter_id: identity.storage_id,
        }
        bound = bind_storage(current, storage)
        if bound is not None:
            self._append(bound)

    async def _adopt_term(self, term: int) -> None:
        async with self._context.lock:
            if term > self._context.term:
                await self._context.store_vote(Vote(term))
            self._context.follow(self._context.leader_id)

    async def _watch_majority(self) -> None:
        """Step down when a majority was silent for an election timeout."""
        timeout_ms = self._options.election_timeout_ms
        while self.is_active:
            await self._options.clock.sleep_ms(
                timeout_ms / _CHECKS_PER_TIMEOUT,
            )
            now_ms = self._options.clock.now_ms()
            confirmed_ms = self._progress.confirmed_ms(
                self._context.voters,
                now_ms,
            )
            if now_ms - confirmed_ms > timeout_ms:
                self._options.log.warning('majority_lost', term=self.term)
                self.step_down()

    async def _run_replicators(self) -> None:
        """Run one task for each other replica of the newest set."""
        async with trio.open_nursery() as nursery:
            while True:
                self._stop_removed()
                for voter_id in self._missing():
                    scope = trio.CancelScope()
                    self._scopes[voter_id] = scope
                    nursery.start_soon(self._replicate, voter_id, scope)
                await self._appended.wait()

    def _missing(self) -> list[str]:
        own = self._options.voter_id
        ids = [rep.voter_id for rep in self._log.replicas.replicas]
        return [
            voter_id
            for voter_id in ids
            if voter_id != own and voter_id not in self._scopes
        ]

    def _stop_removed(self) -> None:
        # A removed replica is kept until its removal is committed.
        if self._applier.commit_index < self._log.replicas_index:
            return
        ids = {rep.voter_id for rep in self._log.replicas.replicas}
        removed = [voter for voter in self._scopes if voter not in ids]
        for voter_id in removed:
            self._scopes.pop(voter_id).cancel()
        self._progress.forget(removed)

    async def _replicate(
        self,
        voter_id: str,
        scope: trio.CancelScope,
    ) -> None:
        progress = self._progress.peer(
            voter_id,
            self._log.last_index,
            self._options.clock.now_ms(),
        )
        replicator = PeerReplicator(
            voter_id,
            self._context,
            self._links,
            progress,
            self._view,
        )
        with scope:
            await replicator.run()


def _no_quorum() -> Failure:
    return Failure(
        FailureReason.NO_QUORUM,
        'this replica does not lead a majority',
    )
