"""Base of all wire messages."""

from __future__ import annotations

import msgspec

from borageward.failures import Failure, FailureReason, RunState


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Immutable message, tagged with its class name on the wire."""


class Rejected(Message, frozen=True):
    """Reply of an operation that failed; the wire form of a failure."""

    reason: FailureReason
    detail: str = ''
    run_state: RunState = RunState.NOT_RUN

    @classmethod
    def of(cls, failure: Failure) -> Rejected:
        """Return the wire form of a failure."""
        return cls(failure.reason, failure.detail, failure.run_state)

    def failure(self) -> Failure:
        """Return the failure value of this reply."""
        return Failure(self.reason, self.detail, self.run_state)
