"""Limits on how long a run may go on after its entry was last heard of."""

from __future__ import annotations

import pytest

from borageward.policy.run_authority import AuthorityLimits

REPEATS_MS = (900, 1000, 1300, 2000, 10_000)
# Shortest time in which an endpoint can be told of a stop several times.
STOP_MS = 250
# An entry echoes the states of a guard at least this often.
ECHO_MS = 350


@pytest.mark.parametrize('repeat_ms', REPEATS_MS)
def test_runs_end_before_their_jobs_are_repeated(repeat_ms):
    """Guards against a part of the chain that is longer than the whole.

    A caller starts its job again elsewhere after ``repeat_ms``.
    """
    limits = AuthorityLimits(repeat_ms)
    assert limits.run_limit_ms <= repeat_ms - 100
    assert limits.session_timeout_ms + STOP_MS <= limits.run_limit_ms
    assert limits.lease_ms + ECHO_MS <= limits.run_limit_ms


def test_repetition_that_is_too_early_is_refused():
    """Guards against limits that leave no time to stop a run."""
    with pytest.raises(ValueError, match='repeat_ms'):
        AuthorityLimits(800)


@pytest.mark.parametrize('repeat_ms', [1900, 3000, 10_000])
def test_runs_of_a_silent_entry_are_not_believed_alive_for_longer(repeat_ms):
    """Guards against an entry that waits for runs that ended long ago.

    The runs of a silent entry are revoked at the session timeout and end a
    lease later, however long callers wait.
    """
    limits = AuthorityLimits(repeat_ms)
    assert limits.run_limit_ms <= limits.session_timeout_ms + limits.lease_ms
