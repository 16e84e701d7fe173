"""Decisions under load and faults, free of input and output."""

from __future__ import annotations

from borageward.policy.dispatch import (
    Assignment,
    DispatchPolicy,
    JobNeed,
    WaitingTask,
)
from borageward.policy.scheduler import GuardTask, SlotScheduler

__all__ = (
    'Assignment',
    'DispatchPolicy',
    'GuardTask',
    'JobNeed',
    'SlotScheduler',
    'WaitingTask',
)
