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
    # A job is refused when its predicted wait leaves less than this share of
    # its deadline.
    admission_margin: float = 0.1
    # Retries after a proved ``not_run``, as a share of fresh starts.
    retry_budget_share: float = 0.1
    # Guards.
    guard_queue_tasks: int = 64
    short_slots_share: float = 0.25
    # A task whose learnt run time is above this is long work.
    long_task_ms: int = 2000
    # Outliers.
    outlier_window: int = 20
    outlier_failures: int = 10
    outlier_probe_interval_ms: int = 1000
    max_ejected_share: float = 0.3
    # Configuration.
    configuration_lease_ms: int = 5000
