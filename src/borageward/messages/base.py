"""Base class of the tagged wire messages, and the reply for failures."""

from __future__ import annotations

import msgspec

from borageward.failures import Failure, FailureReason, RunState


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Immutable message, encoded as an array of its tag and field values.

    The tag is the class name, and fields are identified by their position.
    """


class Rejected(Message, frozen=True):
    """Reply to a request that failed; the wire form of ``Failure``."""

    reason: FailureReason
    detail: str = ''
    run_state: RunState = RunState.NOT_RUN

    @classmethod
    def of(cls, failure: Failure) -> Rejected:
        """Return the reply that reports a failure."""
        return cls(failure.reason, failure.detail, failure.run_state)

    def failure(self) -> Failure:
        """Return the failure that this reply reports."""
        return Failure(self.reason, self.detail, self.run_state)
