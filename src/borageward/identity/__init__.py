"""Job ids and digests of request bodies."""

from __future__ import annotations

from borageward.identity.digest import body_digest
from borageward.identity.job import (
    JobId,
    format_job_id,
    job_id_time_ms,
    new_job_id,
    parse_job_id,
)

__all__ = (
    'JobId',
    'body_digest',
    'format_job_id',
    'job_id_time_ms',
    'new_job_id',
    'parse_job_id',
)
