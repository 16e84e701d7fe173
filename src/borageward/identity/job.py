"""Job ids: a UUIDv7 that is also the idempotency key of the job."""

from __future__ import annotations

import secrets
import uuid
from typing import TypeAlias

from borageward.failures import Failure, FailureReason

# The 16 bytes of a UUIDv7. Control keeps claims by job id, and bytes objects
# take less memory than uuid.UUID.
JobId: TypeAlias = bytes

_TIME_BYTES = 6
_RANDOM_BYTES = 10
_VERSION = 7
_VERSION_BITS = 0x70
_VERSION_MASK = 0xF
_VARIANT_BITS = 0x80
_VARIANT_MASK = 0x3F
_VERSION_INDEX = 6
_VARIANT_INDEX = 8


def new_job_id(wall_ms: int) -> JobId:
    """Return a new random UUIDv7.

    ``wall_ms`` is the wall time in milliseconds since the Unix epoch.
    """
    octets = bytearray(wall_ms.to_bytes(_TIME_BYTES, 'big'))
    octets += secrets.token_bytes(_RANDOM_BYTES)
    octets[_VERSION_INDEX] = (
        octets[_VERSION_INDEX] & _VERSION_MASK
    ) | _VERSION_BITS
    octets[_VARIANT_INDEX] = (
        octets[_VARIANT_INDEX] & _VARIANT_MASK
    ) | _VARIANT_BITS
    return bytes(octets)


def parse_job_id(text: str) -> JobId | Failure:
    """Parse the text form of a UUIDv7, or return ``INVALID_REQUEST``."""
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return Failure(FailureReason.INVALID_REQUEST, 'job id is not a UUID')
    if parsed.version != _VERSION or parsed.variant != uuid.RFC_4122:
        return Failure(FailureReason.INVALID_REQUEST, 'job id is not a UUIDv7')
    return parsed.bytes


def format_job_id(job_id: JobId) -> str:
    """Return the text form of a job id."""
    return str(uuid.UUID(bytes=job_id))


def job_id_time_ms(job_id: JobId) -> int:
    """Return the time in the id, in milliseconds since the Unix epoch."""
    return int.from_bytes(job_id[:_TIME_BYTES], 'big')
