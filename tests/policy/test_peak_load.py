"""Each policy compared with its baseline in a simulation of peak load."""

from __future__ import annotations

import random
import statistics

from borageward.policy.run_placement import GoalPlacement, RandomPlacement
from tests.policy.peak_load import PeakLoad, by_arrival, by_slack

SEEDS = range(3)
# More than the endpoints can do, so that some jobs have to be refused.
OVERLOAD_JOBS_PER_S = 110


def on_time_share(kind, placement, order, **options):
    """Return the mean share of jobs of a kind on time over all seeds."""
    return statistics.mean(
        PeakLoad(
            placement(random.Random(seed)),
            order,
            seed=seed,
            **options,
        ).run()[kind]
        for seed in SEEDS
    )


def test_placement_by_goal_serves_long_tasks():
    """Guards against long tasks on endpoints too slow to meet their goal."""
    product = on_time_share('long', GoalPlacement, by_slack)
    baseline = on_time_share('long', RandomPlacement, by_slack)
    assert product > baseline + 0.05


def test_order_by_slack_serves_urgent_jobs():
    """Guards against urgent jobs that wait behind a backlog of others."""
    load = {'jobs_per_s': OVERLOAD_JOBS_PER_S, 'entries': 4}
    product = on_time_share('short', GoalPlacement, by_slack, **load)
    baseline = on_time_share('short', GoalPlacement, by_arrival, **load)
    assert product > baseline + 0.1


def test_refusal_keeps_the_rest_on_time():
    """Guards against a backlog in which every job is a little late.

    Without refusals each job waits for those ahead of it, whether or not they
    can still meet their goal.
    """
    load = {'jobs_per_s': OVERLOAD_JOBS_PER_S}
    product = on_time_share('medium', GoalPlacement, by_slack, **load)
    baseline = on_time_share(
        'medium',
        GoalPlacement,
        by_slack,
        refuses=False,
        **load,
    )
    assert product > baseline + 0.1


def test_urgent_tasks_of_several_entries_go_first():
    """Guards against urgent tasks that lose room to those of other entries.

    They keep it because they may wait at an endpoint, which starts them before
    less urgent tasks.
    """
    load = {'jobs_per_s': OVERLOAD_JOBS_PER_S, 'entries': 4}
    product = on_time_share('short', GoalPlacement, by_slack, **load)
    baseline = on_time_share('short', without_queue, by_slack, **load)
    assert product > baseline + 0.1


def without_queue(source):
    """Return a placement whose tasks never wait at an endpoint."""
    return GoalPlacement(source, queue_share=0)
