"""Failures as values that functions return instead of raising."""

from __future__ import annotations

from borageward.failures.failure import Failure, FailureReason, RunState

__all__ = ('Failure', 'FailureReason', 'RunState')
