"""Errors that end the process."""

from __future__ import annotations

from borageward.failures import Failure, FailureReason


class StorageError(Exception):
    """The disk cannot be trusted any more; the process has to end."""

    def __init__(self, failure: Failure) -> None:
        """Keep the failure, ``STORAGE_FAILED`` with the reason."""
        super().__init__(failure.detail)
        self.failure = failure


def storage_failed(detail: str) -> Failure:
    """Return the failure of a disk that cannot be trusted any more."""
    return Failure(FailureReason.STORAGE_FAILED, detail)


def disk_full(detail: str) -> Failure:
    """Return the failure of a write that found no space and was undone."""
    return Failure(FailureReason.DISK_FULL, detail)
