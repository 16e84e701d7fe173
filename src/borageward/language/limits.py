"""Descriptions of the limits, used in plans and on the reference page."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType

from borageward.language.sentences import number_text

# Each text completes the plan sentence that begins with "It is".
LIMIT_MEANINGS: Mapping[str, str] = MappingProxyType(
    {
        'max_open_jobs': (
            'the number of unanswered jobs of an entry; further jobs are '
            'refused as overloaded'
        ),
        'max_queued_tasks': (
            'the number of waiting tasks of an entry; further jobs are '
            'refused as overloaded'
        ),
        'max_body_bytes': (
            'the size of a request in bytes; larger ones are refused as '
            'body_too_large'
        ),
        'max_deadline_ms': (
            'the longest deadline in ms that a job may ask for; longer ones '
            'are refused as invalid_request'
        ),
        'max_predicted_wait_ms': (
            'the longest wait in ms behind earlier work; a job that would '
            'wait longer is refused as overloaded'
        ),
        'admission_margin': (
            'the share of its deadline that a job must have left after the '
            'predicted wait; otherwise it is refused as overloaded'
        ),
        'retry_budget_share': (
            'the number of retries as a share of first starts; further '
            'retries are refused as retry_budget_spent'
        ),
        'retry_backoff_ms': (
            'the first pause in ms before a retry; it doubles with each one'
        ),
        'retry_backoff_max_ms': ('the longest pause in ms before a retry'),
        'max_attempts': (
            'the number of placements of a task, the first included'
        ),
        'placement_queue_tasks': (
            'the estimated queue of the best worker, in tasks, from which a '
            'task stays at the entry'
        ),
        'place_delay_ms': (
            'the one-way delay in ms between places that placement assumes'
        ),
        'guard_queue_tasks': (
            'the number of tasks that wait at one worker; further ones are '
            'placed elsewhere'
        ),
        'short_slots_share': (
            'the share of the slots of each worker that long work may not use'
        ),
        'long_task_ms': (
            'the run time in ms above which work counts as long work'
        ),
        'long_slots_share': (
            'the share of the slots of each worker that long work may hold'
        ),
        'announcements_per_start': (
            'the budget of load announcements, in messages for each start'
        ),
        'announced_change_tasks': (
            'the least change of queued and running tasks that a worker '
            'announces'
        ),
        'outlier_window': (
            'the number of recent jobs of a worker that failures are counted in'
        ),
        'outlier_failures': (
            'the number of failures in that window that ejects a worker'
        ),
        'outlier_probe_interval_ms': (
            'the first pause in ms before an ejected worker is tried again'
        ),
        'max_ejected_share': (
            'the largest share of the workers that may be ejected at once'
        ),
        'configuration_lease_ms': (
            'the time in ms without confirmation after which a process '
            'takes no new work'
        ),
    }
)


def limit_sentence(name: str, before: float, after: float) -> str:
    """Return the plan sentence for a changed limit, with its description."""
    figures = f'from {number_text(before)} to {number_text(after)}'
    return f'Limit {name} changes {figures}. It is {LIMIT_MEANINGS[name]}.'
