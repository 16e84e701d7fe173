"""Limits that operators may change while the system runs."""

from __future__ import annotations

import attrs


@attrs.frozen(slots=True)
class Limits:
    """Named limits with their units; each has a safe default."""

    # Admission at an entry.
    max_open_jobs: int = 5000
    max_queued_tasks: int = 20_000
    max_body_bytes: int = 1_048_576
    max_deadline_ms: int = 600_000
    # A job is refused when the work ahead of it takes longer than this, which
    # bounds the backlog that is left when a demand peak ends.
    max_predicted_wait_ms: int = 1000
    # A job is refused when its predicted wait leaves less than this share of
    # its deadline.
    admission_margin: float = 0.25
    # Retries after a proved ``not_run``, as a share of fresh starts.
    retry_budget_share: float = 0.1
    retry_backoff_ms: int = 10
    retry_backoff_max_ms: int = 1000
    max_attempts: int = 4
    # Placement. A task stays at the entry while the queue of the best worker
    # is estimated to be at least this long.
    placement_queue_tasks: int = 2
    place_delay_ms: float = 0.5
    # Guards.
    guard_queue_tasks: int = 64
    short_slots_share: float = 0.25
    # A task whose learnt run time is above this is long work.
    long_task_ms: int = 2000
    # Share of a guard's slots that long work may hold.
    long_slots_share: float = 0.5
    # Load announcements to entries: budget in messages for each start, and the
    # least change of queued and running tasks that is announced.
    announcements_per_start: float = 0.15
    announced_change_tasks: int = 3
    # Outliers.
    # At 5% background failures and 200 starts/s a healthy worker crosses 12
    # failures of 24 by chance 0.003 times a day; 10 of 20 gives 0.09.
    outlier_window: int = 24
    outlier_failures: int = 12
    outlier_probe_interval_ms: int = 1000
    max_ejected_share: float = 0.3
    # Configuration.
    configuration_lease_ms: int = 5000
