"""Configuration and counters of one simulation run."""

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
    """Counters of a simulation run.

    ``extra_messages`` are those other than starts and results.
    ``wrong_run_states`` counts tasks that start twice, or that are reported as
    not run although they start. ``starts_by_worker`` counts starts from
    ``failing_from_ms`` on. ``largest_queue`` is in tasks of one entry.
    """

    tasks: int = 0
    start_messages: int = 0
    extra_messages: int = 0
    starts: int = 0
    wrong_run_states: int = 0
    starts_by_worker: dict[str, int] = attrs.Factory(dict)
    largest_queue: int = 0
    retries: int = 0


@attrs.frozen
class Setup:
    """Configuration of one simulation run.

    All runs at ``failing_worker`` fail from ``failing_from_ms`` on; other runs
    fail with probability ``failure_share``.
    """

    deployment: Deployment
    limits: Limits = attrs.Factory(Limits)
    parts: Callable[[random.Random], DispatchParts] = lambda _source: (
        DispatchParts()
    )
    scheduler: Callable[[int, Limits], SlotScheduler] = ClassSlotScheduler
    announcer: Callable[[Limits], LoadAnnouncer[Entry]] = SilentAnnouncer
    failing_worker: str = ''
    failing_from_ms: float = 0
    failure_share: float = 0
    services: tuple[Service, ...] = ()
