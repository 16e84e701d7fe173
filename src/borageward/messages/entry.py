"""Messages between entries.

An entry forwards a job to the entry that owns its claim and returns the
owner's answer to its own caller.
"""

from __future__ import annotations

from typing import TypeAlias

from borageward.messages.base import Message, Rejected


class ForwardJob(Message, frozen=True):
    """A caller's request body for the owner of the job.

    ``remaining_ms`` is the time left to the caller's deadline.
    """

    body: bytes
    remaining_ms: float


class ReadJob(Message, frozen=True):
    """Ask the owner for the state or the answer of a job."""

    job_id: bytes


class CancelJob(Message, frozen=True):
    """Ask the owner to cancel a job."""

    job_id: bytes


class JobAnswer(Message, frozen=True):
    """Answer of the owner, as it goes to the caller.

    ``status`` is the HTTP status and ``body`` the JSON document;
    ``retry_after_s`` is zero when the caller gets no such hint.
    """

    status: int
    body: bytes
    retry_after_s: int = 0


EntryRequest: TypeAlias = ForwardJob | ReadJob | CancelJob
EntryReply: TypeAlias = JobAnswer | Rejected
