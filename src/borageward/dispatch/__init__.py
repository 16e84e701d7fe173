"""Dispatch of jobs: an entry places their tasks and returns their outcomes."""

from __future__ import annotations

from borageward.dispatch.request import (
    CancelResult,
    JobOutcome,
    JobRequest,
    JobVerdict,
    StepSpec,
)
from borageward.dispatch.service import DispatchService

__all__ = (
    'CancelResult',
    'DispatchService',
    'JobOutcome',
    'JobRequest',
    'JobVerdict',
    'StepSpec',
)
