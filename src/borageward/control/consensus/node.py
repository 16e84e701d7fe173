"""One replica of the replicated log of control."""

from __future__ import annotations

from typing import TypeVar

import trio

from borageward.control.consensus.applier import Applier
from borageward.control.consensus.context import ReplicaContext
from borageward.control.consensus.election import Election
from borageward.control.consensus.handlers import RequestHandler
from borageward.control.consensus.introduction import Introduction
from borageward.control.consensus.leadership import Leadership
from borageward.control.consensus.links import PeerLinks
from borageward.control.consensus.log import ReplicatedLog
from borageward.control.consensus.membership import (
    ReplicaChange,
    ReplicaRequest,
)
from borageward.control.consensus.options import NodeOptions
from borageward.control.consensus.progress import PeerProgress
from borageward.control.consensus.majorities import learner_ids
from borageward.control.signals import Signal
from borageward.control.state import StateMachine, StateReply
from borageward.control.storage import (
    Disk,
    Identity,
    LogSegments,
    ReplicaFiles,
    SnapshotDocument,
    StorageError,
)
from borageward.control.storage.errors import storage_failed
from borageward.failures import Failure, FailureReason
from borageward.messages.consensus import (
    ConsensusReply,
    ConsensusRequest,
    LogCommand,
    Replica,
    SetReplicas,
)
from borageward.messages.control import ControlStatus, Done

StoredT = TypeVar('StoredT')


class Node:
    """A replica that is a follower, candidate or leader of the log.

    ``open`` and ``run`` raise ``StorageError`` when the contents of the disk
    are unreadable or unknown; the process then has to end.
    """

    def __init__(self, options: NodeOptions, disk: Disk) -> None:
        """Create a replica; ``open`` reads its files from the disk."""
        self._options = options
        self._files = ReplicaFiles(disk)
        self._log = ReplicatedLog(
            LogSegments(disk),
            self._files,
            SetReplicas(options.initial, ()),
        )
        self._context = ReplicaContext(options, self._files, self._log)
        self._applier = Applier(self._context)
        self._links = PeerLinks(self._log, options.open_peer)
        self._handler = RequestHandler(self._context, self._applier)
        self._leadership: Leadership | None = None

    @property
    def machine(self) -> StateMachine:
        """Return the state machine as of the last applied entry."""
        return self._applier.machine

    @property
    def log(self) -> ReplicatedLog:
        """Return the log."""
        return self._log

    @property
    def leader_term(self) -> int:
        """Return the term in which this replica leads, or 0.

        It is also 0 until the first entry of the term is committed.
        """
        leadership = self._leadership
        if leadership is None or not leadership.is_active:
            return 0
        return leadership.term if leadership.is_ready else 0

    @property
    def is_refused(self) -> bool:
        """Return whether another voter knows the voter id with another disk.

        The id must then not be used again with this disk.
        """
        return self._context.refused

    @property
    def leader(self) -> Replica | None:
        """Return the leader of this term, or ``None`` when it is unknown."""
        return self._context.leader

    @property
    def hears_leader(self) -> bool:
        """Return whether a leader has been in contact of late, or leads."""
        return self._context.hears_leader

    @property
    def changed(self) -> Signal:
        """Return the signal sent on applied entries and leader changes."""
        return self._context.changed

    def status(self) -> ControlStatus:
        """Return the status that operators can query."""
        return ControlStatus(
            self._options.voter_id,
            self._context.term,
            self._context.leader_id,
            self._applier.commit_index,
            self._context.voters,
            learner_ids(self._log.replicas),
            len(self.machine.claims),
            self.machine.revisions.revision,
        )

    async def open(self) -> None:
        """Read the disk; raise ``StorageError`` when it cannot be used."""
        identity = await self._open_identity()
        vote = _result_or_raise(await self._files.read_vote())
        snapshot = _result_or_raise(await self._log.load())
        if isinstance(snapshot, SnapshotDocument):
            _result_or_raise(self._applier.restore(snapshot))
        await self._context.load(vote, identity)

    async def run(self) -> None:
        """Run until cancelled; raise ``StorageError`` when the disk fails."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._applier.run)
            nursery.start_soon(self._run_roles)
            failure = await self._context.wait_for_failure()
            nursery.cancel_scope.cancel()
        raise StorageError(failure)

    async def close(self) -> None:
        """Reject all further requests and close the links.

        Returns once no request uses the disk any more.
        """
        await self._context.close()
        await self._links.close()

    async def serve(self, request: ConsensusRequest) -> ConsensusReply:
        """Return the reply to a request of another replica."""
        return await self._handler.serve(request)

    async def propose(self, command: LogCommand) -> StateReply | Failure:
        """Commit a command through the log and return its reply.

        Returns a failure when this replica does not lead or stops leading
        before the command is applied. In the latter case the command may
        still be applied later.
        """
        leadership = self._leadership
        if leadership is None or not leadership.is_active:
            return self._leadership_failure()
        return await leadership.propose(command)

    async def confirm_leadership(self) -> Failure | None:
        """Return once a majority has confirmed that this replica leads.

        The confirmations are requested after the call. Returns a failure when
        this replica does not lead.
        """
        leadership = self._leadership
        if leadership is None or not leadership.is_active:
            return self._leadership_failure()
        return await leadership.confirm_leadership()

    def progress_of(self, voter_id: str) -> PeerProgress | None:
        """Return the replication progress of a replica.

        Returns ``None`` when this replica does not lead or does not replicate
        to that replica.
        """
        leadership = self._leadership
        if leadership is None or not leadership.is_active:
            return None
        return leadership.progress.find(voter_id)

    def is_retired(self, voter_id: str) -> bool:
        """Return whether the removal of a replica is committed.

        Only then do the remaining voters hold all that the replica has
        acknowledged, so that its disk may be erased.
        """
        committed = self._log.replicas_at(self._applier.commit_index)
        return voter_id in committed.retired

    async def change_replicas(
        self,
        request: ReplicaRequest,
    ) -> Done | Failure:
        """Add, promote or remove one replica, or exchange voters.

        Returns ``VOTER_CHANGE_PENDING`` while another change is not committed
        or a learner that should be promoted has not caught up,
        ``INVALID_REQUEST`` when the change is not possible, and another
        failure when this replica does not lead.
        """
        unconfirmed = await self.confirm_leadership()
        leadership = self._leadership
        if unconfirmed is not None:
            return unconfirmed
        if leadership is None:
            return self._leadership_failure()
        change = ReplicaChange(
            leadership,
            self._log,
            self._applier,
            self._options,
        )
        return await change.run(request)

    async def _run_roles(self) -> None:
        await Introduction(self._context, self._links).run()
        await Election(self._context, self._links).run(starting=True)
        while True:
            await self._lead()
            await Election(self._context, self._links).run()

    async def _lead(self) -> None:
        self._leadership = Leadership(
            self._context,
            self._applier,
            self._links,
        )
        await self._leadership.run()
        self._leadership = None
        self._applier.fail_waiters()

    def _leadership_failure(self) -> Failure:
        if self._context.failed:
            return storage_failed('the disk of this replica failed')
        leader = self._context.leader
        if leader is not None and leader.voter_id != self._options.voter_id:
            return Failure(FailureReason.NOT_LEADER, leader.voter_id)
        if self._context.disk_full:
            return Failure(
                FailureReason.DISK_FULL,
                'the disk of this replica is full',
            )
        return Failure(FailureReason.NO_QUORUM, 'no leader is known')

    async def _open_identity(self) -> Identity:
        empty = _result_or_raise(await self._files.is_empty())
        identity = _result_or_raise(await self._files.read_identity())
        if isinstance(identity, Identity):
            if identity.voter_id == self._options.voter_id:
                return identity
            raise _storage_error(
                f'the disk belongs to voter {identity.voter_id}'
            )
        if not empty:
            raise _storage_error(
                'the identity file is missing on a disk with other files'
            )
        identity = Identity.create(
            self._options.voter_id,
            learner=self._options.join_as_learner,
            initial=self._options.initial,
        )
        _result_or_raise(await self._files.write_identity(identity))
        return identity


def _result_or_raise(result: StoredT | Failure) -> StoredT:
    if isinstance(result, Failure):
        raise StorageError(result)
    return result


def _storage_error(detail: str) -> StorageError:
    return StorageError(storage_failed(detail))
