"""Placement, order and refusal of runs, and estimates of endpoints."""

from __future__ import annotations

import random

from borageward.messages.runs import Demand
from borageward.policy.endpoint_speed import FailureShare, SlownessEstimate
from borageward.policy.run_admission import (
    Backlog,
    retry_after_ms,
    should_refuse,
)
from borageward.policy.run_order import RunGoal, slack_ms
from borageward.policy.run_placement import (
    Candidate,
    GoalPlacement,
    PlacementNeed,
)

TASK = Demand(1600, 64)


def candidate(name, room=16_000, slowness=1.0, failure_share=0, labels=()):
    """Return an endpoint of 16 cores; ``room`` is in thousandths of a core."""
    return Candidate(
        name,
        frozenset(labels),
        Demand(16_000, 65_536),
        Demand(room, 65_536),
        slowness,
        failure_share,
    )


def choose(candidates, **need):
    """Return the name of the endpoint chosen for a task, or ``None``."""
    placement = GoalPlacement(random.Random(1))
    fields = {'estimate_ms': 100, 'budget_ms': 220, **need}
    chosen = placement.choose(PlacementNeed(TASK, **fields), candidates)
    return None if chosen is None else chosen.name


def test_faster_endpoint_is_chosen():
    """Guards against tasks on a slow endpoint while a fast one is free."""
    assert choose([candidate('slow', slowness=2), candidate('fast')]) == 'fast'


def test_long_task_leaves_the_slow_endpoint_to_short_ones():
    """Guards against long tasks that miss their goal on a slow endpoint.

    A slow endpoint takes 1.8 times the estimate. A task of 340 ms would miss
    its goal of 604 ms there; a task of 100 ms meets its goal of 220 ms.
    """
    found = [candidate('slow', slowness=1.8), candidate('fast', room=0)]
    assert choose(found, estimate_ms=340, budget_ms=604) is None
    assert choose(found, estimate_ms=100, budget_ms=220) == 'slow'


def test_task_waits_for_a_fast_endpoint_while_it_has_time():
    """Guards against a late run when a short wait would have met the goal."""
    found = [candidate('slow', slowness=1.8), candidate('fast', room=0)]
    long_task = {'estimate_ms': 340, 'budget_ms': 604}
    assert choose(found, **long_task) is None
    assert choose(found, accepts_late=True, **long_task) == 'slow'
    assert choose(found, estimate_ms=340, budget_ms=380) == 'slow'


def test_task_does_not_wait_for_a_single_fast_endpoint():
    """Guards against idle endpoints while all tasks wait for the fastest."""
    found = [candidate(f'slow-{number}', slowness=1.8) for number in range(4)]
    found.append(candidate('fast', room=0))
    chosen = choose(found, estimate_ms=340, budget_ms=604)
    assert chosen.startswith('slow')


def test_full_endpoint_gets_no_task():
    """Guards against tasks that wait at a full endpoint.

    From there they could not go to another endpoint that gets room earlier.
    """
    relaxed = {'estimate_ms': 340, 'budget_ms': 604}
    assert choose([candidate('a', room=1500)], **relaxed) is None
    assert choose([candidate('full', room=0), candidate('b')]) == 'b'
    assert choose([candidate('full', room=0), candidate('b')], **relaxed) == 'b'


def test_urgent_task_waits_at_an_endpoint_within_its_share():
    """Guards against urgent tasks that lose freed room to less urgent ones.

    Demand of three tenths of the 16 cores may wait at an endpoint, which is
    two tasks of 1.6 cores.
    """
    assert choose([candidate('a', room=0)]) == 'a'
    assert choose([candidate('a', room=-1600)]) == 'a'
    assert choose([candidate('a', room=-3300)]) is None


def test_urgent_task_does_not_wait_where_it_would_be_late():
    """Guards against a task sent to wait where it would miss its goal.

    A job can be refused only as long as none of its tasks was sent.
    """
    assert choose([candidate('a', room=0, slowness=1.9)]) is None
    assert choose([candidate('a', room=0)], budget_ms=100) is None


def test_failing_endpoint_is_avoided_but_better_than_none():
    """Guards against a failing endpoint that gets most of the tasks.

    An endpoint that fails every run at once always has room.
    """
    failing = candidate('failing', failure_share=0.9)
    assert choose([failing, candidate('sound', room=2000)]) == 'sound'
    assert choose([failing]) == 'failing'


def test_retry_goes_to_another_endpoint():
    """Guards against retries on an endpoint where the task has failed."""
    found = choose(
        [candidate('a'), candidate('b', slowness=1.5)],
        avoided=frozenset('a'),
    )
    assert found == 'b'


def test_required_label_and_exclusion_are_kept():
    """Guards against a task on an endpoint that may not run it."""
    found = [candidate('a'), candidate('b', labels=('gpu',))]
    assert choose(found, required_label='gpu') == 'b'
    assert choose(found, excluded=frozenset(('a', 'b'))) is None


def test_missed_goal_waits_behind_one_that_can_be_met():
    """Guards against a backlog in which every job misses its goal.

    This happens when jobs that are already late are served before those that
    can still meet their goal.
    """
    goal = RunGoal(0, 200, 1500, 1)
    missed = slack_ms(goal, 100, 350)
    later = slack_ms(RunGoal(340, 540, 1840, 1), 100, 350)
    assert later < missed


def test_rest_of_a_begun_job_goes_before_a_new_one():
    """Guards against started jobs whose last task waits behind new jobs.

    At peak load the first tasks of a job of eight were ordered after 7 ms and
    the last one after 305 ms in the median.
    """
    begun = slack_ms(RunGoal(0, 223, 2000, 0), 102, 130)
    new = slack_ms(RunGoal(130, 353, 2130, 0), 102, 130)
    assert begun < new


def test_urgent_queue_goes_first_at_equal_slack():
    """Guards against a priority that does not affect the order."""
    urgent = slack_ms(RunGoal(0, 200, 1500, 0), 100, 0)
    normal = slack_ms(RunGoal(0, 200, 1500, 1), 100, 0)
    assert urgent < normal


def test_old_job_of_a_lower_queue_is_not_starved():
    """Guards against starvation of long jobs by newer short ones."""
    old = slack_ms(RunGoal(0, 2500, 4000, 2), 1500, 900)
    new = slack_ms(RunGoal(900, 1500, 2400, 1), 340, 900)
    assert old < new


def test_job_that_cannot_end_in_time_is_refused_at_once():
    """Guards against jobs that wait until their deadline and then fail."""
    goal = RunGoal(0, 223, 2000, 0)
    assert should_refuse(goal, 102, Backlog(80_000, 100), 0)
    assert should_refuse(goal, 102, Backlog(9_000, 100), 0)
    assert not should_refuse(goal, 102, Backlog(8_000, 100), 0)


def test_no_job_is_refused_without_a_backlog():
    """Guards against refusals while there is no backlog."""
    goal = RunGoal(0, 223, 300, 0)
    assert not should_refuse(goal, 1000, Backlog(0, 100), 250)


def test_retry_after_grows_with_the_backlog():
    """Guards against callers that retry before the backlog is processed."""
    assert retry_after_ms(Backlog(400_000, 100)) == 8000


def test_slowness_follows_completed_and_current_runs():
    """Guards against an estimate that misses a slowdown of the endpoint."""
    estimate = SlownessEstimate()
    for _ in range(60):
        estimate.observe(200, 100)
    assert round(estimate.slowness) == 2
    estimate.project((6, 6.5, 7))
    assert round(estimate.slowness) == 5
    estimate.project(())
    assert round(estimate.slowness) == 2


def test_failures_of_one_job_count_once():
    """Guards against avoiding an endpoint because one job always fails."""
    share = FailureShare()
    for _ in range(30):
        share.observe('poison', failed=True)
    assert int(share.share * 10) < 2


def test_suspect_shares_its_endpoint_with_few():
    """Guards against many runs lost with an endpoint that a task crashes.

    The empty endpoint is slower, but still meets the goal.
    """
    found = [candidate('busy', room=4000), candidate('empty', slowness=1.6)]
    assert choose(found, estimate_ms=100, budget_ms=400) == 'busy'
    chosen = choose(found, estimate_ms=100, budget_ms=400, is_suspect=True)
    assert chosen == 'empty'
