"""Term, vote, role and identity that the parts of a replica share."""

from __future__ import annotations

import enum
import itertools

import msgspec
import trio

from borageward.clock import Milliseconds
from borageward.control.consensus.eligibility import (
    may_grant_vote,
    may_stand,
)
from borageward.control.consensus.log import ReplicatedLog
from borageward.control.consensus.options import NodeOptions
from borageward.control.consensus.majorities import VoterSets, voter_sets
from borageward.control.consensus.replicas import find_replica
from borageward.control.signals import Signal
from borageward.control.storage import (
    Identity,
    ReplicaFiles,
    Vote,
)
from borageward.control.storage.errors import storage_failed
from borageward.failures import Failure, FailureReason
from borageward.messages.consensus import Replica


class Role(enum.Enum):
    """Role of a replica in its current term."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class ReplicaContext:
    """State that all tasks of one replica share.

    A new term, vote or identity is written to the disk before it is used.
    """

    def __init__(
        self,
        options: NodeOptions,
        files: ReplicaFiles,
        log: ReplicatedLog,
    ) -> None:
        """Create a follower in term 0; call ``load`` before use."""
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
        self._closed = False
        self._refused = False
        # Held while a request or an election changes the term or the log.
        self.lock = trio.Lock()
        self.role = Role.FOLLOWER
        self.leader_id = ''
        # Highest index that this replica knows to be committed.
        self.commit_index = 0
        self.last_contact_ms: Milliseconds = 0
        self.disk_full = False
        self.changed = Signal()

    @property
    def options(self) -> NodeOptions:
        """Return the options."""
        return self._options

    @property
    def log(self) -> ReplicatedLog:
        """Return the log."""
        return self._log

    @property
    def term(self) -> int:
        """Return the highest term that this replica has seen."""
        return self._vote.term

    @property
    def candidate(self) -> str:
        """Return the voter id voted for in this term, or an empty string."""
        return self._vote.candidate

    @property
    def identity(self) -> Identity:
        """Return the identity, which ties the voter id to one disk."""
        return self._identity

    @property
    def voter_sets(self) -> VoterSets:
        """Return the voter sets in the newest replica set of the log."""
        return voter_sets(self._log.replicas)

    @property
    def voters(self) -> tuple[str, ...]:
        """Return the ids of all replicas that belong to a voter set."""
        ids = itertools.chain.from_iterable(self.voter_sets)
        return tuple(dict.fromkeys(ids))

    @property
    def leader(self) -> Replica | None:
        """Return the leader of this term, or ``None`` when it is unknown."""
        return find_replica(self._log.replicas.replicas, self.leader_id)

    @property
    def hears_leader(self) -> bool:
        """Return whether a leader was in contact within the timeout.

        A leader that is known need not be alive, nor send to this replica.
        """
        if self.role is Role.LEADER:
            return True
        if not self.leader_id:
            return False
        since_contact_ms = self._options.clock.now_ms() - self.last_contact_ms
        return since_contact_ms < self._options.election_timeout_ms

    @property
    def failed(self) -> bool:
        """Return whether the disk failed; requests are then rejected."""
        return self._failure is not None

    @property
    def refused(self) -> bool:
        """Return whether another voter has refused the disk."""
        return self._refused

    @property
    def closed(self) -> bool:
        """Return whether this replica has ended; requests are rejected."""
        return self._closed

    def may_stand(self) -> bool:
        """Return whether this replica may stand for election."""
        if self._closed:
            return False
        return may_stand(
            self._log.replicas,
            self._log.replicas_at(self.commit_index),
            self._identity,
        )

    def may_grant_vote(self, counted_storage_id: bytes) -> bool:
        """Return whether this replica may vote for a candidate.

        ``counted_storage_id`` is the storage id of this replica in the log of
        the candidate.
        """
        if self._closed:
            return False
        return may_grant_vote(
            self._log.replicas,
            self._identity,
            counted_storage_id,
        )

    def may_store(self) -> bool:
        """Return whether this replica may store entries of a leader."""
        return self._identity.admitted or self._identity.learner

    async def load(self, vote: Vote | None, identity: Identity) -> None:
        """Set the vote and identity that were read from the disk."""
        self._vote = vote or Vote()
        self._identity = identity
        self.last_contact_ms = self._options.clock.now_ms()

    async def store_vote(self, vote: Vote) -> Failure | None:
        """Write a newer term or a vote in this term to the disk.

        Returns a failure, and keeps the former vote, if the write fails.
        """
        failure = self.check_storage_result(await self._files.write_vote(vote))
        if failure is None:
            if vote.term > self._vote.term:
                self.leader_id = ''
            self._vote = vote
        return failure

    async def store_identity(self, **fields: object) -> Failure | None:
        """Write the identity with changed fields to the disk.

        Returns a failure, and keeps the former identity, if the write fails.
        """
        identity = msgspec.structs.replace(self._identity, **fields)
        failure = self.check_storage_result(
            await self._files.write_identity(identity)
        )
        if failure is None:
            self._identity = identity
        return failure

    def become_follower(self, leader_id: str) -> None:
        """Become a follower; an empty id stands for an unknown leader."""
        self.role = Role.FOLLOWER
        if self.leader_id != leader_id:
            self._options.log.event(
                'leader_changed',
                leader=leader_id,
                term=self.term,
            )
        self.leader_id = leader_id
        self.changed.notify()

    def check_storage_result(self, failure: Failure | None) -> Failure | None:
        """Record the result of a disk operation and return it.

        A full disk leaves the replica running; any other failure ends it.
        """
        self.disk_full = _is_disk_full(failure)
        if failure is None or self.disk_full:
            return failure
        self._failure = failure
        self._failed.set()
        return failure

    def refuse_disk(self, voter_id: str, detail: str) -> None:
        """Record that a voter knows the own voter id with another disk."""
        self._refused = True
        if self._options.rejoins_if_refused:
            self._options.log.warning('disk_refused', voter=voter_id)
        else:
            self.check_storage_result(storage_failed(detail))

    async def close(self) -> None:
        """Reject further requests, once the current one has been served."""
        async with self.lock:
            self._closed = True

    async def wait_for_failure(self) -> Failure:
        """Wait until the disk fails and return the failure."""
        while self._failure is None:
            await self._failed.wait()
        self._options.log.warning(
            'storage_failed',
            detail=self._failure.detail,
        )
        return self._failure


def _is_disk_full(failure: Failure | None) -> bool:
    return failure is not None and failure.reason is FailureReason.DISK_FULL
