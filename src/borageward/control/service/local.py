"""Log of a single replica in memory."""

from __future__ import annotations

import msgspec

from borageward.clock import Clock
from borageward.control.signals import Signal
from borageward.control.state import StateMachine, StateReply
from borageward.failures import Failure, FailureReason
from borageward.messages.consensus import (
    LogCommand,
    LogEntry,
    Replica,
    StartTerm,
)
from borageward.messages.control import (
    AddLearner,
    ControlStatus,
    Done,
    PromoteVoter,
    RemoveVoter,
)
from borageward.settings import ControlSettings


class LocalReplica:
    """The only replica; nothing is durable."""

    def __init__(self, settings: ControlSettings, clock: Clock) -> None:
        """Prepare an empty log."""
        self._settings = settings
        self._clock = clock
        self._machine = StateMachine()
        self._changed = Signal()

    @property
    def machine(self) -> StateMachine:
        """Return the state as of the last applied entry."""
        return self._machine

    @property
    def leader_term(self) -> int:
        """Return the only term."""
        return 1

    @property
    def leader(self) -> Replica | None:
        """Return this replica."""
        settings = self._settings
        return Replica(
            settings.voter_id,
            settings.address,
            settings.member_address,
            voter=True,
        )

    @property
    def changed(self) -> Signal:
        """Return the signal of applied entries."""
        return self._changed

    def status(self) -> ControlStatus:
        """Return the state of this replica."""
        voter = self._settings.voter_id
        return ControlStatus(
            voter,
            self.leader_term,
            voter,
            self._machine.applied_index,
            (voter,),
            (),
            len(self._machine.claims),
            self._machine.revisions.revision,
        )

    async def start(self) -> None:
        """Set the times of the state."""
        await self.propose(
            StartTerm(
                self._settings.claim_retention_ms,
                self._settings.clock_skew_ms,
            ),
        )

    async def propose(self, command: LogCommand) -> StateReply | Failure:
        """Apply a command at once."""
        entry = LogEntry(
            self._machine.applied_index + 1,
            self.leader_term,
            self._clock.wall_ms(),
            msgspec.msgpack.encode(command),
        )
        reply = self._machine.apply(entry)
        self._changed.notify()
        return reply

    async def confirm(self) -> Failure | None:
        """Confirm at once."""

    async def change_replicas(
        self,
        request: AddLearner | PromoteVoter | RemoveVoter,
    ) -> Done | Failure:
        """Refuse; a log in memory has one replica."""
        return Failure(
            FailureReason.INVALID_REQUEST,
            f'{request} needs a durable log',
        )
