"""Calls of an entry to control, sent in batches."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import trio

from borageward.clock import Milliseconds
from borageward.entry.batcher import Batcher, BatchKind, Control
from borageward.failures import Failure
from borageward.identity import JobId
from borageward.messages.control import (
    Claim,
    ClaimAnswer,
    Claimed,
    ClaimRequest,
    FindClaims,
    Finish,
    Finished,
    JobFinish,
    TakeOver,
)

# Longer than an election, so that a claim survives the loss of the leader.
CLAIM_TIMEOUT_MS = 4000.0
FINISH_TIMEOUT_MS = 4000.0
# Most outcomes are recorded after their answer was sent, so they can wait to
# share a call.
FINISH_WAIT_MS = 10.0
FIND_TIMEOUT_MS = 2000.0


class ControlCalls:
    """Claims jobs, takes them over, reads claims and records outcomes.

    Requests of one kind that are made at about the same time share a call.
    ``incarnation`` returns the current incarnation of the entry, zero if it
    has none; it is called for every batch. ``claim_wait_ms`` is how long a
    claim waits for others to share its call.
    """

    def __init__(
        self,
        control: Control,
        incarnation: Callable[[], int],
        claim_wait_ms: Milliseconds,
    ) -> None:
        """Prepare one batcher for each kind of request."""
        self._incarnation = incarnation
        self._claims: Batcher[ClaimRequest, ClaimAnswer] = Batcher(
            control,
            BatchKind(
                lambda items: Claim(incarnation(), items),
                _claim_answers,
                CLAIM_TIMEOUT_MS,
                claim_wait_ms,
            ),
        )
        self._takeovers: Batcher[JobId, ClaimAnswer] = Batcher(
            control,
            BatchKind(
                lambda items: TakeOver(incarnation(), items),
                _claim_answers,
                CLAIM_TIMEOUT_MS,
            ),
        )
        self._finds: Batcher[JobId, ClaimAnswer] = Batcher(
            control,
            BatchKind(FindClaims, _claim_answers, FIND_TIMEOUT_MS),
        )
        self._finishes: Batcher[JobFinish, bool] = Batcher(
            control,
            BatchKind(
                lambda items: Finish(incarnation(), items),
                _finish_answers,
                FINISH_TIMEOUT_MS,
                FINISH_WAIT_MS,
            ),
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Send batches in the nursery."""
        nursery.start_soon(self._claims.run)
        nursery.start_soon(self._takeovers.run)
        nursery.start_soon(self._finds.run)
        nursery.start_soon(self._finishes.run)

    async def claim(self, request: ClaimRequest) -> ClaimAnswer | Failure:
        """Claim a job for the current incarnation.

        After a failure the claim may exist.
        """
        return await self._claims.submit(request)

    async def take_over(self, job_id: JobId) -> ClaimAnswer | Failure:
        """Move the claim of an ended incarnation to the current one.

        After a failure the claim may have been moved.
        """
        return await self._takeovers.submit(job_id)

    async def find(self, job_id: JobId) -> ClaimAnswer | Failure:
        """Return the claim of a job; its owner is zero if there is none."""
        return await self._finds.submit(job_id)

    async def finish(self, owner: int, finish: JobFinish) -> bool | Failure:
        """Record an outcome and return whether control has accepted it.

        Control accepts an outcome only from the owner of the job. When
        ``owner`` is no longer the current incarnation, the result is false
        without a call. After a failure the outcome may have been recorded.
        """
        if owner != self._incarnation():
            return False
        return await self._finishes.submit(finish)


def _claim_answers(reply: Any) -> tuple[ClaimAnswer, ...] | None:
    return reply.answers if isinstance(reply, Claimed) else None


def _finish_answers(reply: Any) -> tuple[bool, ...] | None:
    return reply.recorded if isinstance(reply, Finished) else None
