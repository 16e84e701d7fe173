"""Size limits of requests, checked before a request enters the log."""

from __future__ import annotations

from collections.abc import Sequence

from borageward.failures import Failure
from borageward.messages.control import (
    AddLearner,
    ApplyChange,
    Approve,
    Claim,
    ControlRequest,
    FindClaims,
    Finish,
    RegisterEntry,
    RegisterGuard,
    TakeOver,
)
from borageward.failures import FailureReason
from borageward.transport import parse_address

# Size of a job id and of the digest of a job's body.
_ID_BYTES = 16
_MAX_TASKS_PER_JOB = 65_535
_MAX_JOBS_PER_REQUEST = 10_000
_MAX_TOKEN_BYTES = 64
_MAX_TEXT_CHARACTERS = 1000


def check_request(request: ControlRequest) -> Failure | None:
    """Return ``INVALID_REQUEST`` when a field is out of its bounds."""
    if isinstance(request, Claim):
        return _check_claim(request)
    if isinstance(request, TakeOver | FindClaims):
        return _check_job_ids(request.job_ids)
    if isinstance(request, Finish):
        return _check_job_ids([job.job_id for job in request.jobs])
    if isinstance(request, ApplyChange):
        texts = (request.author, request.reason)
        return _check_token(request.command_id) or _check_texts(*texts)
    if isinstance(request, Approve):
        digest = request.plan_digest
        return (
            _check_token(request.command_id)
            or _check_token(digest)
            or _check_texts(request.approver)
        )
    return _check_member(request)


def _check_claim(request: Claim) -> Failure | None:
    for item in request.requests:
        if len(item.digest) != _ID_BYTES:
            return _invalid(f'the digest of a job must have {_ID_BYTES} bytes')
        if not 0 < item.task_count <= _MAX_TASKS_PER_JOB:
            return _invalid(f'a job must have 1 to {_MAX_TASKS_PER_JOB} tasks')
    return _check_job_ids([item.job_id for item in request.requests])


def _check_member(request: ControlRequest) -> Failure | None:
    if isinstance(request, RegisterEntry):
        return _check_token(request.nonce) or _check_texts(
            request.name,
            request.place,
            request.link_address,
            request.http_address,
        )
    if isinstance(request, RegisterGuard):
        return _check_token(request.nonce) or _check_texts(
            request.worker,
            request.place,
            request.service,
            request.endpoint,
            request.link_address,
        )
    if isinstance(request, AddLearner):
        return _check_learner(request)
    return None


def _check_learner(request: AddLearner) -> Failure | None:
    for text in (request.address, request.member_address):
        address = parse_address(text)
        if isinstance(address, Failure):
            return address
    if not request.voter_id:
        return _invalid('the voter id must not be empty')
    return _check_texts(request.voter_id)


def _check_job_ids(job_ids: Sequence[bytes]) -> Failure | None:
    if len(job_ids) > _MAX_JOBS_PER_REQUEST:
        return _invalid(
            f'more than {_MAX_JOBS_PER_REQUEST} jobs in one request',
        )
    if any(len(job_id) != _ID_BYTES for job_id in job_ids):
        return _invalid(f'a job id must have {_ID_BYTES} bytes')
    return None


def _check_token(token: bytes) -> Failure | None:
    if 0 < len(token) <= _MAX_TOKEN_BYTES:
        return None
    return _invalid(
        f'ids, nonces and digests must have 1 to {_MAX_TOKEN_BYTES} bytes',
    )


def _check_texts(*texts: str) -> Failure | None:
    if any(len(text) > _MAX_TEXT_CHARACTERS for text in texts):
        return _invalid(
            f'a text field exceeds {_MAX_TEXT_CHARACTERS} characters',
        )
    return None


def _invalid(detail: str) -> Failure:
    return Failure(FailureReason.INVALID_REQUEST, detail)
