"""Limits that operators may change while the system runs."""

from __future__ import annotations

import attrs


@attrs.frozen(slots=True)
class Limits:
    """Limits by name, each with a safe default.

    The end of a name is the unit: ``_ms``, ``_bytes``, or the items counted.
    A ``share`` is a fraction of 1.
    """

    # Admission of jobs at an entry.
    max_open_jobs: int = 5000
    max_queued_tasks: int = 20_000
    max_body_bytes: int = 1_048_576
    max_deadline_ms: int = 600_000
    # A job is refused when the work ahead of it is predicted to take longer.
    # This bounds the backlog that remains after a demand peak.
    max_predicted_wait_ms: int = 1000
    # A job is refused when it is predicted to finish with less than this share
    # of its deadline left.
    admission_margin: float = 0.25
    # Number of retries of tasks that provably did not run (``not_run``), as a
    # share of first starts.
    retry_budget_share: float = 0.1
    retry_backoff_ms: int = 10
    retry_backoff_max_ms: int = 1000
    max_attempts: int = 4
    # Placement: a task stays at the entry while the queue of the best worker
    # is estimated to be at least this long.
    placement_queue_tasks: int = 2
    # One-way delay between two places that placement assumes.
    place_delay_ms: float = 0.5
    # Queues and slots of a guard.
    guard_queue_tasks: int = 64
    # Share of a guard's slots that long work may not use.
    short_slots_share: float = 0.25
    # A task whose expected or elapsed run time is above this is long work.
    long_task_ms: int = 2000
    # Share of a guard's slots that long work may hold.
    long_slots_share: float = 0.5
    # Load announcements from a guard to entries: the budget in messages for
    # each started task, and the least change of queued and running tasks that
    # is announced.
    announcements_per_start: float = 0.15
    announced_change_tasks: int = 3
    # Ejection of workers whose tasks fail more often than those of others.
    # At 5% background failures and 200 starts/s a healthy worker reaches 12
    # failures of 24 by chance 0.003 times a day; 10 of 20 gives 0.09.
    outlier_window: int = 24
    outlier_failures: int = 12
    outlier_probe_interval_ms: int = 1000
    max_ejected_share: float = 0.3
    # A process that has not confirmed its configuration for this time takes no
    # new work.
    configuration_lease_ms: int = 5000
