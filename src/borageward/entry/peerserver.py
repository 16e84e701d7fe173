"""Serves the requests that other entries forward."""

from __future__ import annotations

import attrs

from borageward.entry.answers import Answer
from borageward.entry.jobmanager import JobManager
from borageward.entry.http import MAX_DEADLINE_MS
from borageward.entry.request import decode_request
from borageward.failures import Failure
from borageward.messages.base import Rejected
from borageward.messages.entry import (
    EntryReply,
    EntryRequest,
    ForwardJob,
    JobAnswer,
    ReadJob,
)


class PeerHandler:
    """Serves requests of other entries for the jobs that this entry owns."""

    def __init__(self, job_manager: JobManager) -> None:
        """Prepare a handler that passes requests to a job manager."""
        self._job_manager = job_manager

    async def serve(self, request: EntryRequest) -> EntryReply:
        """Return the answer that the other entry passes on to its caller.

        A forwarded body that does not decode is answered with ``Rejected``.
        """
        if isinstance(request, ForwardJob):
            return await self._submit_forwarded(request)
        if isinstance(request, ReadJob):
            answer = await self._job_manager.read(request.job_id, local=True)
        else:
            answer = await self._job_manager.cancel(request.job_id, local=True)
        return _reply(answer)

    async def _submit_forwarded(self, message: ForwardJob) -> EntryReply:
        request = decode_request(message.body, MAX_DEADLINE_MS)
        if isinstance(request, Failure):
            return Rejected.of(request)
        deadline_ms = min(request.deadline_ms, message.remaining_ms)
        return _reply(
            await self._job_manager.submit(
                attrs.evolve(request, deadline_ms=deadline_ms),
            ),
        )


def _reply(answer: Answer) -> JobAnswer:
    return JobAnswer(answer.status, answer.body, answer.retry_after_s)
