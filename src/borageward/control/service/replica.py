"""Interface of a replica of the control log, as the servers use it."""

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
        """Return the term in which this replica leads, or 0."""

    @property
    def leader(self) -> Replica | None:
        """Return the leader known to this replica, or ``None``."""

    @property
    def changed(self) -> Signal:
        """Return the signal that is set when an entry is applied.

        It is also set when the leader changes.
        """

    def status(self) -> ControlStatus:
        """Return the status of this replica for operators."""

    async def propose(self, command: LogCommand) -> StateReply | Failure:
        """Append a command and return its reply once it is applied.

        A command is applied once a majority of voters has synced it. After a
        failure it may still be applied later.
        """

    async def confirm_leadership(self) -> Failure | None:
        """Confirm with a majority that this replica leads.

        Only answers to messages that are sent after the call count. Returns a
        failure when the leadership is not confirmed.
        """

    async def change_replicas(
        self,
        request: AddLearner | PromoteVoter | RemoveVoter,
    ) -> Done | Failure:
        """Add, promote or remove one replica.

        Returns ``VOTER_CHANGE_PENDING`` while another change is not committed
        or a learner that should be promoted has not caught up,
        ``INVALID_REQUEST`` when the change is not possible, and another
        failure when this replica does not lead.
        """
