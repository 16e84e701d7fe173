"""Failure values with a reason."""

from __future__ import annotations

from borageward.failures.failure import Failure, FailureReason, RunState

__all__ = ('Failure', 'FailureReason', 'RunState')
