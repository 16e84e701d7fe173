"""Batched calls of an entry to control."""

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
# An outcome is recorded after its answer has left, with others.
FINISH_WAIT_MS = 10.0
FIND_TIMEOUT_MS = 2000.0


class ControlCalls:
    """Claims, takeovers, look-ups and outcomes, each in batches.

    ``incarnation`` returns the incarnation in use at the time of a call.
    """

    def __init__(
        self,
        control: Control,
        incarnation: Callable[[], int],
        claim_wait_ms: Milliseconds,
    ) -> None:
        """Prepare the batchers."""
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
        """Start to send batches."""
        nursery.start_soon(self._claims.run)
        nursery.start_soon(self._takeovers.run)
        nursery.start_soon(self._finds.run)
        nursery.start_soon(self._finishes.run)

    async def claim(self, request: ClaimRequest) -> ClaimAnswer | Failure:
        """Claim a job for the current incarnation."""
        return await self._claims.ask(request)

    async def take_over(self, job_id: JobId) -> ClaimAnswer | Failure:
        """Move the claim of an ended incarnation to the current one."""
        return await self._takeovers.ask(job_id)

    async def find(self, job_id: JobId) -> ClaimAnswer | Failure:
        """Read a claim."""
        return await self._finds.ask(job_id)

    async def finish(self, owner: int, finish: JobFinish) -> bool | Failure:
        """Record an outcome; false when the owner has lost the job.

        Control checks the owner too; an ended one is not even asked for.
        """
        if owner != self._incarnation():
            return False
        return await self._finishes.ask(finish)


def _claim_answers(reply: Any) -> tuple[ClaimAnswer, ...] | None:
    return reply.answers if isinstance(reply, Claimed) else None


def _finish_answers(reply: Any) -> tuple[bool, ...] | None:
    return reply.recorded if isinstance(reply, Finished) else None
