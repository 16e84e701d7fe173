"""Limits on how long a run may go on after its entry was last heard of."""

from __future__ import annotations

import pytest

from borageward.policy.run_authority import AuthorityLimits, entry_wait_ms

REPEATS_MS = (900, 1000, 1300, 2000, 10_000)
# Shortest time in which an endpoint can be told of a stop several times.
STOP_MS = 250
# An entry echoes the states of a guard at least this often.
ECHO_MS = 350
# What ends at the end of a lease may work on for this long: the 50 ms of
# stop_grace_ms, as the guard counts it.
END_MS = 60
# An endpoint's clock may be 2% slow; the guard's estimate of it is slower.
CLOCK_ERROR = 0.03
# Smallest time from the end of a run at a silent guard to the next order of its
# task, by bench.second_runs: entries-cut-off-guards-freeze on frwsa-grit-grown,
# seed 3601. END_MS and the error of the clock are taken off already.
MEASURED_MARGIN_MS = 39.9
# Smallest time by which a run was last listed before its limit, by the same.
MEASURED_LIMIT_LEFT_MS = 223


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


@pytest.mark.parametrize('repeat_ms', REPEATS_MS)
def test_entry_waits_for_the_runs_of_a_silent_guard(repeat_ms):
    """Guards against an entry that starts a task while its run is at work.

    The parts after the limit of the guard must fit into the rest of the entry's
    wait. A played day may come nearer than their sum only by a fault.
    """
    limits = AuthorityLimits(repeat_ms)
    rest_ms = entry_wait_ms(limits.run_limit_ms) - limits.run_limit_ms
    least_margin_ms = rest_ms - END_MS - limits.lease_ms * CLOCK_ERROR
    assert 0 < least_margin_ms <= MEASURED_MARGIN_MS


def test_runs_end_before_the_limit_by_the_time_for_stops():
    """Guards against sessions that leave no time to stop a run.

    The figure of the played days holds for the callers' pause of the sites.
    """
    limits = AuthorityLimits()
    assert limits.run_limit_ms - limits.session_timeout_ms >= STOP_MS
    assert MEASURED_LIMIT_LEFT_MS > END_MS
