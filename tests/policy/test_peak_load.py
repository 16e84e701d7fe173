"""Each decision on the load that it answers, beside its baseline."""

from __future__ import annotations

import random
import statistics

from borageward.policy.run_placement import GoalPlacement, RandomPlacement
from tests.policy.peak_load import Wave, by_arrival, by_slack

SEEDS = range(3)
# More than the endpoints can do, so that something has to be refused.
OVERLOAD_JOBS_PER_S = 110


def share(kind, placement, order, **options):
    """Return the mean on-time share of a kind over several waves."""
    return statistics.mean(
        Wave(placement(random.Random(seed)), order, seed=seed, **options).run()[
            kind
        ]
        for seed in SEEDS
    )


def test_placement_by_goal_serves_long_tasks():
    """Guards against long tasks on endpoints that are too slow for them."""
    product = share('long', GoalPlacement, by_slack)
    baseline = share('long', RandomPlacement, by_slack)
    assert product > baseline + 0.05


def test_order_by_slack_serves_urgent_jobs():
    """Guards against urgent jobs behind a backlog of others."""
    load = {'jobs_per_s': OVERLOAD_JOBS_PER_S, 'entries': 4}
    product = share('short', GoalPlacement, by_slack, **load)
    baseline = share('short', GoalPlacement, by_arrival, **load)
    assert product > baseline + 0.1


def test_refusal_keeps_the_rest_on_time():
    """Guards against a backlog in which every job is a little late."""
    load = {'jobs_per_s': OVERLOAD_JOBS_PER_S}
    product = share('medium', GoalPlacement, by_slack, **load)
    baseline = share('medium', GoalPlacement, by_slack, refuses=False, **load)
    assert product > baseline + 0.1


def test_urgent_tasks_of_several_entries_go_first():
    """Guards against room that less urgent tasks of other entries take."""
    load = {'jobs_per_s': OVERLOAD_JOBS_PER_S, 'entries': 4}
    product = share('short', GoalPlacement, by_slack, **load)
    baseline = share('short', without_queue, by_slack, **load)
    assert product > baseline + 0.1


def without_queue(source):
    """Return the placement that gives no endpoint more than it has room for."""
    return GoalPlacement(source, queue_share=0)
