"""What the service needs of its replica of the log."""

from __future__ import annotations

from typing import Protocol

from borageward.control.signals import Signal
from borageward.control.state import StateMachine, StateReply
from borageward.failures import Failure
from borageward.messages.consensus import LogCommand, Replica
from borageward.messages.control import (
    AddLearner,
    ControlStatus,
    Done,
    PromoteVoter,
    RemoveVoter,
)


class LogReplica(Protocol):
    """One replica of the control log."""

    @property
    def machine(self) -> StateMachine:
        """Return the state as of the last applied entry."""

    @property
    def leader_term(self) -> int:
        """Return the term in which this replica leads, or zero."""

    @property
    def leader(self) -> Replica | None:
        """Return the leader that this replica knows of."""

    @property
    def changed(self) -> Signal:
        """Return the signal of applied entries and of changes of leader."""

    def status(self) -> ControlStatus:
        """Return the state of this replica."""

    async def propose(self, command: LogCommand) -> StateReply | Failure:
        """Apply a command once a majority has synced it.

        After a failure the command may still be applied later.
        """

    async def confirm_leadership(self) -> Failure | None:
        """Confirm with a majority, after the call, that this one leads."""

    async def change_replicas(
        self,
        request: AddLearner | PromoteVoter | RemoveVoter,
    ) -> Done | Failure:
        """Change the set of replicas by one."""
