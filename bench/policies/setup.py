"""Choices and counts of one run."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, TypeAlias

import attrs

from bench.policies.workload import Deployment
from borageward.configuration import Limits, Service
from borageward.policy.adaptive_dispatch import DispatchParts
from borageward.policy.announcing import LoadAnnouncer, SilentAnnouncer
from borageward.policy.class_scheduler import ClassSlotScheduler
from borageward.policy.scheduler import SlotScheduler

if TYPE_CHECKING:
    from bench.policies.entry import Entry

TaskKey: TypeAlias = tuple[bytes, int]


@attrs.define(eq=False)
class Counts:
    """Messages and starts of a run."""

    tasks: int = 0
    starts_messages: int = 0
    extra_messages: int = 0
    starts: int = 0
    lies: int = 0
    starts_of: dict[str, int] = attrs.Factory(dict)
    largest_queue: int = 0
    retries: int = 0


@attrs.frozen
class Setup:
    """Choices of one run."""

    deployment: Deployment
    limits: Limits = attrs.Factory(Limits)
    parts: Callable[[random.Random], DispatchParts] = lambda _source: (
        DispatchParts()
    )
    scheduler: Callable[[int, Limits], SlotScheduler] = ClassSlotScheduler
    announcer: Callable[[Limits], LoadAnnouncer[Entry]] = SilentAnnouncer
    failing: str = ''
    failing_from_ms: float = 0
    failure_share: float = 0
    services: tuple[Service, ...] = ()
