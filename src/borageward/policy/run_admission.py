"""Early refusal of jobs that would wait too long.

At peak load more work arrives than the endpoints can do. A job that waits
until its deadline and fails then has used up all the time of its caller. An
immediate refusal lets the caller react in time and says when to try again.
"""

from __future__ import annotations

import attrs

from borageward.clock import Milliseconds
from borageward.policy.run_order import RunGoal

# Share of the time to its goal that a job may be expected to need. A job that
# needs more would also delay the jobs behind it. The rest is a margin for the
# work of other entries, which the backlog does not include, and for errors of
# the estimates.
_GOAL_SHARE = 0.85
_MIN_RETRY_AFTER_MS = 1000.0


@attrs.frozen(slots=True)
class Backlog:
    """Work ahead of a job and the cores that process it.

    ``cpu_ms`` is in milliseconds of one core at the nominal speed. ``cores``
    is the part of the endpoints' cores that this entry can use, converted to
    the nominal speed.
    """

    cpu_ms: float
    cores: float

    @property
    def wait_ms(self) -> Milliseconds:
        """Return the expected time to finish the work."""
        return self.cpu_ms / max(1, self.cores)


def should_refuse(
    goal: RunGoal,
    chain_ms: float,
    backlog: Backlog,
    now_ms: Milliseconds,
) -> bool:
    """Return whether to refuse a job of which no run has been ordered.

    ``chain_ms`` is the estimated run time of its longest chain of tasks.
    """
    if not backlog.cpu_ms:
        return False
    end_ms = now_ms + backlog.wait_ms + chain_ms
    duration_ms = goal.goal_ms - goal.arrived_ms
    latest_ms = goal.arrived_ms + _GOAL_SHARE * duration_ms
    return end_ms > min(latest_ms, goal.deadline_ms)


def retry_after_ms(backlog: Backlog) -> Milliseconds:
    """Return how long a refused caller should wait before a retry."""
    return max(_MIN_RETRY_AFTER_MS, 2 * backlog.wait_ms)


def share_of_cores(
    cores: float,
    own_cores: float,
    used_cores: float,
    sessions: int,
) -> float:
    """Return the number of cores that one of several entries can use.

    It is the mean of an equal share and the entry's current share of the used
    cores, because the traffic of the entries is uneven.
    """
    equal_share = 1 / max(1, sessions)
    current_share = own_cores / used_cores if used_cores > 0 else equal_share
    return cores * (equal_share + min(1, current_share)) / 2
