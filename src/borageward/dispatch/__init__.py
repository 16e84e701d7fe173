"""Dispatch of jobs: an entry places their tasks and returns their outcomes."""

from __future__ import annotations

from borageward.dispatch.request import (
    JobOutcome,
    JobRequest,
    JobVerdict,
    StepSpec,
)
from borageward.dispatch.service import DispatchService

__all__ = (
    'DispatchService',
    'JobOutcome',
    'JobRequest',
    'JobVerdict',
    'StepSpec',
)
