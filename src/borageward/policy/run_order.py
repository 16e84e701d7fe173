"""Order of waiting tasks by slack, the time until they have to start.

Under overload all waiting times grow, and a queue in order of arrival serves
mostly jobs whose goal has already passed. Tasks are therefore ordered by the
latest start that meets their goal, so the remaining tasks of a started job
come before those of new jobs. Tasks that have missed their goal come last.
Callers' estimates are rough, so a goal counts as missed only with a tolerance.
"""

from __future__ import annotations

import attrs

from borageward.clock import Milliseconds

# Slack added for each step of priority; 0 is the most urgent priority.
_PRIORITY_STEP_MS = 150.0
# A goal counts as missed when it is exceeded by this share of the time from
# the arrival of the job to the goal.
_MISSED_SHARE = 0.8
# Slack added to a task that has missed its goal, so that it sorts last.
_MISSED_PENALTY_MS = 20_000.0
# Time to start a run and to report its end.
_OVERHEAD_MS = 15.0


@attrs.frozen(slots=True)
class RunGoal:
    """Arrival, goal and deadline of a job, as times of the same clock.

    The job should end by its goal and fails at its deadline. Priority 0 is the
    most urgent.
    """

    arrived_ms: Milliseconds
    goal_ms: Milliseconds
    deadline_ms: Milliseconds
    priority: int


def job_goal_ms(
    stretch: float,
    target_latency_ms: float,
    chain_ms: float,
) -> Milliseconds:
    """Return the time from the arrival of a job to its goal.

    ``chain_ms`` is the estimated run time of its longest chain of tasks.
    """
    return stretch * chain_ms + target_latency_ms


def slack_ms(
    goal: RunGoal,
    remaining_ms: float,
    now_ms: Milliseconds,
) -> Milliseconds:
    """Return the time until a task has to start; lower is more urgent.

    ``remaining_ms`` is the expected time from the task's start to the end of
    its job.
    """
    latest_ms = goal.goal_ms - remaining_ms - _OVERHEAD_MS
    slack = latest_ms - now_ms
    tolerance_ms = _MISSED_SHARE * (goal.goal_ms - goal.arrived_ms)
    if slack < -tolerance_ms:
        slack += _MISSED_PENALTY_MS
    return slack + goal.priority * _PRIORITY_STEP_MS
