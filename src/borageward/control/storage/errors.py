"""Failures of the disk of a control replica."""

from __future__ import annotations

from borageward.failures import Failure, FailureReason


class StorageError(Exception):
    """The content of the disk is unknown, so the process has to end.

    ``failure`` has the reason ``STORAGE_FAILED`` and says what went wrong.
    """

    def __init__(self, failure: Failure) -> None:
        """Create the error from a ``STORAGE_FAILED`` failure."""
        super().__init__(failure.detail)
        self.failure = failure


def storage_failed(detail: str) -> Failure:
    """Return a failure for a disk whose content is damaged or unknown."""
    return Failure(FailureReason.STORAGE_FAILED, detail)


def disk_full(detail: str) -> Failure:
    """Return a failure for a write that was undone for lack of space."""
    return Failure(FailureReason.DISK_FULL, detail)
