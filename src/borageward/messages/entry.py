"""Messages between entries.

An entry forwards a request for a job to the entry that owns the claim of the
job, and returns the owner's answer to the caller.
"""

from __future__ import annotations

from typing import TypeAlias

from borageward.messages.base import Message, Rejected


class ForwardJob(Message, frozen=True):
    """Forward a submitted job to its owner.

    ``body`` is the request body of the caller, ``remaining_ms`` the time left
    until the caller's deadline.
    """

    body: bytes
    remaining_ms: float


class ReadJob(Message, frozen=True):
    """Read the state of a job, or its answer once it has ended."""

    job_id: bytes


class CancelJob(Message, frozen=True):
    """Cancel a job at its owner."""

    job_id: bytes


class JobAnswer(Message, frozen=True):
    """HTTP answer of the owner, which is returned to the caller unchanged.

    ``status`` is the HTTP status, ``body`` the JSON document and
    ``retry_after_s`` the value of ``Retry-After``, or zero to omit it.
    """

    status: int
    body: bytes
    retry_after_s: int = 0


EntryRequest: TypeAlias = ForwardJob | ReadJob | CancelJob
EntryReply: TypeAlias = JobAnswer | Rejected
