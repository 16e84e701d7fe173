"""Early refusal of jobs that would wait too long.

At the peak of a wave more work arrives than the endpoints can do. A job that
waits until its deadline and is given up then has cost its caller all the time
that it had; a refusal at once lets the caller act, and tells when the backlog
will be gone.
"""

from __future__ import annotations

import attrs

from borageward.clock import Milliseconds
from borageward.policy.run_order import RunGoal

# A job that is expected to need more than this share of the time to its goal
# would only make the jobs behind it late as well. The rest is for what the
# backlog does not show: the work of other entries, and errors of estimates.
_GOAL_SHARE = 0.85
_MIN_RETRY_AFTER_MS = 1000.0


@attrs.frozen(slots=True)
class Backlog:
    """Work that is ahead of a job, and how fast it is done.

    ``cpu_ms`` is in milliseconds of one core, ``cores`` what the endpoints
    have for this entry, at the nominal speed.
    """

    cpu_ms: float
    cores: float

    @property
    def wait_ms(self) -> Milliseconds:
        """Return the expected time until the work is done."""
        return self.cpu_ms / max(1, self.cores)


def should_refuse(
    goal: RunGoal,
    chain_ms: float,
    backlog: Backlog,
    now_ms: Milliseconds,
) -> bool:
    """Tell whether a job of which nothing was ordered should be refused."""
    if not backlog.cpu_ms:
        return False
    end_ms = now_ms + backlog.wait_ms + chain_ms
    duration_ms = goal.goal_ms - goal.arrived_ms
    latest_ms = goal.arrived_ms + _GOAL_SHARE * duration_ms
    return end_ms > min(latest_ms, goal.deadline_ms)


def retry_after_ms(backlog: Backlog) -> Milliseconds:
    """Return when a refused caller should come back."""
    return max(_MIN_RETRY_AFTER_MS, 2 * backlog.wait_ms)


def share_of_cores(
    cores: float,
    own_cores: float,
    used_cores: float,
    sessions: int,
) -> float:
    """Return the cores that one of several entries can count on.

    The traffic of entries is uneven, so an entry's present part of the work
    counts as much as an equal part.
    """
    equal = 1 / max(1, sessions)
    present = own_cores / used_cores if used_cores > 0 else equal
    return cores * (equal + min(1, present)) / 2
