"""Limits on how long a run may go on after its entry was last heard of."""

from __future__ import annotations

import attrs

from borageward.clock import Milliseconds

# A caller starts its job again at another entry this long after it lost the
# first one.
REPEAT_MS = 1300.0
# The limits cannot be kept if callers repeat their jobs sooner.
SHORTEST_REPEAT_MS = 900.0
# Time between the end of a run and the earliest start of its repetition. An
# entry may lose its caller this long before it stops the runs.
_REPEAT_MARGIN_MS = 100.0
# Time for an endpoint to confirm the stops of an expired session, before the
# lease of all its runs ends.
_STOP_MS = 300.0
_MAX_SESSION_TIMEOUT_MS = 900.0
# Time for the runs at a silent guard to end once their limit is reached. The
# end of a lease takes effect within 60 ms, and the guard's estimate of the
# endpoint's clock is 3% slow at most, 24 ms for the longest lease.
_END_MARGIN_MS = 100.0
# Age of an echo up to which the lease in force may be given to a new run. The
# guard sends a state every 300 ms, which the entry echoes.
_ECHO_AGE_MS = 400.0
_MAX_LEASE_MS = 800.0


def entry_wait_ms(run_limit_ms: Milliseconds) -> Milliseconds:
    """Return how long an entry takes the runs at a silent guard for active.

    It counts from its last heartbeat or order to that guard, which is later
    than the time stamp in it. ``run_limit_ms`` is the limit that the guard has
    named. The entry starts the tasks elsewhere after this time.
    """
    return run_limit_ms + _END_MARGIN_MS


@attrs.frozen(slots=True)
class AuthorityLimits:
    """Limits that end a run before its caller has the job started again.

    All of them count from the newest time stamp that the entry has echoed, the
    last time when it is known to have been alive. ``repeat_ms`` is the shortest
    time after which a caller repeats its job at another entry.
    """

    repeat_ms: Milliseconds = attrs.field(
        default=REPEAT_MS, validator=attrs.validators.ge(SHORTEST_REPEAT_MS)
    )

    @property
    def run_limit_ms(self) -> Milliseconds:
        """Return the time after the newest echo by which every run has ended.

        No lease ends later while the endpoint lists it. It is stopped after
        the session timeout, with one lease left at most.
        """
        return min(
            self.repeat_ms - _REPEAT_MARGIN_MS,
            _MAX_SESSION_TIMEOUT_MS + _MAX_LEASE_MS,
        )

    @property
    def session_timeout_ms(self) -> Milliseconds:
        """Return the time after the newest echo until runs are stopped."""
        return min(_MAX_SESSION_TIMEOUT_MS, self.run_limit_ms - _STOP_MS)

    @property
    def lease_ms(self) -> Milliseconds:
        """Return the longest lease, and the one left to a revoked run."""
        return min(_MAX_LEASE_MS, self.run_limit_ms - _ECHO_AGE_MS)
