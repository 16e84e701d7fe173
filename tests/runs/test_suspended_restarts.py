"""Guards that start again on a host that is suspended soon afterwards."""

from __future__ import annotations

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from tests.runs.guardharness import Guard, ref, running_guard
from tests.runs.test_guard_runs import SuspendedClock


@pytest.mark.parametrize('suspended_ms', [300, 800, 1200])
async def test_suspension_does_not_end_the_runs_of_a_former_guard(
    suspended_ms, autojump_clock
):
    """Guards against a task that starts elsewhere while its run works on.

    The endpoint has not reported itself to the new guard, which goes by the
    time alone, when its host is suspended. The endpoint's clock may stop
    meanwhile, so the runs of the former guard have all of their lease left.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, nursery):
        await entry.start(0)
        await trio.sleep(0.5)
        guard.scope.cancel()
        endpoint.silent = True
        clock = SuspendedClock()
        again = Guard(endpoint, nursery, clock)
        nursery.start_soon(again.run)
        await wait_all_tasks_blocked()
        clock.suspended_ms = suspended_ms
        resumed = await again.connect()
        nursery.start_soon(resumed.run)
        await resumed.open()
        at_work = ref(0).task in endpoint.running
        assert not at_work or endpoint.lease_expired
