"""Term, vote, role and identity of one replica."""

from __future__ import annotations

import enum

import msgspec
import trio

from borageward.clock import Milliseconds
from borageward.control.consensus.log import ReplicatedLog
from borageward.control.consensus.options import NodeOptions
from borageward.control.consensus.replicas import find_replica, voter_ids
from borageward.control.signals import Signal
from borageward.control.storage import (
    Identity,
    ReplicaFiles,
    Vote,
)
from borageward.failures import Failure, FailureReason
from borageward.messages.consensus import Replica


class Role(enum.Enum):
    """What a replica does in its term."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class ReplicaContext:
    """What all tasks of one replica share.

    A term, a vote and an identity are durable before they are used.
    """

    def __init__(
        self,
        options: NodeOptions,
        files: ReplicaFiles,
        log: ReplicatedLog,
    ) -> None:
        """Prepare a follower in term zero; ``load`` reads the disk."""
        self._options = options
        self._files = files
        self._log = log
        self._vote = Vote()
        self._identity = Identity(
            options.voter_id,
            b'',
            options.join_as_learner,
            admitted=False,
            known={},
        )
        self._failure: Failure | None = None
        self._failed = trio.Event()
        # Held while a request or a campaign changes the term or the log.
        self.lock = trio.Lock()
        self.role = Role.FOLLOWER
        self.leader_id = ''
        self.contact_ms: Milliseconds = 0
        self.disk_full = False
        self.changed = Signal()

    @property
    def options(self) -> NodeOptions:
        """Return the settings."""
        return self._options

    @property
    def log(self) -> ReplicatedLog:
        """Return the log."""
        return self._log

    @property
    def term(self) -> int:
        """Return the newest term."""
        return self._vote.term

    @property
    def candidate(self) -> str:
        """Return who got the vote in this term, or an empty text."""
        return self._vote.candidate

    @property
    def identity(self) -> Identity:
        """Return the identity, which binds the voter id to the disk."""
        return self._identity

    @property
    def voters(self) -> tuple[str, ...]:
        """Return the ids of the voters."""
        return voter_ids(self._log.replicas)

    @property
    def leader(self) -> Replica | None:
        """Return the leader, when known."""
        return find_replica(self._log.replicas.replicas, self.leader_id)

    @property
    def failed(self) -> bool:
        """Tell whether the disk failed; nothing is answered any more."""
        return self._failure is not None

    def may_vote(self) -> bool:
        """Tell whether this disk holds the vote of its voter id."""
        own = find_replica(
            self._log.replicas.replicas,
            self._options.voter_id,
        )
        if own is None or not own.voter:
            return False
        if own.storage_id:
            return own.storage_id == self._identity.storage_id
        return self._identity.admitted

    def may_store(self) -> bool:
        """Tell whether this disk may take entries."""
        return self._identity.admitted or self._identity.learner

    async def load(self, vote: Vote | None, identity: Identity) -> None:
        """Use what the disk held at the start."""
        self._vote = vote or Vote()
        self._identity = identity
        self.contact_ms = self._options.clock.now_ms()

    async def store_vote(self, vote: Vote) -> Failure | None:
        """Store a newer term, or a vote in this term."""
        failure = self.check(await self._files.write_vote(vote))
        if failure is None:
            if vote.term > self._vote.term:
                self.leader_id = ''
            self._vote = vote
        return failure

    async def store_identity(self, **fields: object) -> Failure | None:
        """Store a changed identity."""
        identity = msgspec.structs.replace(self._identity, **fields)
        failure = self.check(await self._files.write_identity(identity))
        if failure is None:
            self._identity = identity
        return failure

    def follow(self, leader_id: str) -> None:
        """Become a follower; an empty id means that no leader is known."""
        self.role = Role.FOLLOWER
        if self.leader_id != leader_id:
            self._options.log.event(
                'leader_changed',
                leader=leader_id,
                term=self.term,
            )
        self.leader_id = leader_id
        self.changed.notify()

    def check(self, failure: Failure | None) -> Failure | None:
        """Note the outcome of a write; a failed disk ends the replica."""
        self.disk_full = _is_full(failure)
        if failure is None or self.disk_full:
            return failure
        self._failure = failure
        self._failed.set()
        return failure

    async def wait_failure(self) -> Failure:
        """Return the failure of the disk once there is one."""
        while self._failure is None:
            await self._failed.wait()
        self._options.log.warning(
            'storage_failed',
            detail=self._failure.detail,
        )
        return self._failure


def _is_full(failure: Failure | None) -> bool:
    return failure is not None and failure.reason is FailureReason.DISK_FULL
