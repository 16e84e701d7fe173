"""Drawn scenarios in which no task may have two runs at the same time."""

from __future__ import annotations

import pytest

from tests.model.world import run_seed

# More seeds are played by hand with ``python -m tests.model FIRST COUNT``.
_SEEDS = tuple(range(1, 21))
# Seeds that are played with the faults of endpoints and of power too.
_EXTRA_SEEDS = (*range(1, 31), 85)


@pytest.mark.parametrize('seed', _SEEDS)
def test_no_task_has_two_runs_at_the_same_time(seed):
    """Guards against a run that goes on while its task starts elsewhere.

    Entries, guards, endpoints and the paths between them fail together.
    """
    result = run_seed(seed)
    assert result.starts
    assert not result.breaches, str(result.breaches[0])


@pytest.mark.parametrize('seed', _EXTRA_SEEDS)
def test_no_task_has_two_runs_beside_faults_of_endpoints_and_power(seed):
    """Guards against the same where guards or all hosts lose their power.

    Endpoints work on meanwhile. Others are mute, hang, refuse starts, or answer
    concurrent calls in another order.
    """
    result = run_seed(seed, extra=True)
    assert result.starts
    assert not result.breaches, str(result.breaches[0])
