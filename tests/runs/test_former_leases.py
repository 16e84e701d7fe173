"""Leases that a former guard process has granted to an endpoint."""

from __future__ import annotations

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from tests.runs.guardharness import Guard, ref, running_guard


async def restart(endpoint, nursery):
    """Return an entry of a guard that has just started at an endpoint."""
    guard = Guard(endpoint, nursery)
    nursery.start_soon(guard.run)
    await wait_all_tasks_blocked()
    guard.monitor.report(endpoint.status())
    entry = await guard.connect()
    nursery.start_soon(entry.run)
    await entry.open()
    while not entry.state.accepting:
        await trio.sleep(0.005)
    return entry


@pytest.mark.parametrize('killed_ms', (500, 560, 620, 680, 740))
async def test_lease_of_a_former_guard_outlasts_that_of_a_start(
    killed_ms,
    autojump_clock,
):
    """Guards against a run that is reported lost while it is at work.

    A lease never gets shorter, so one that the former guard granted applies to
    the runs of its successor too. The endpoint falls silent after a start. The
    former guard was killed at some time after it had granted a lease.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, nursery):
        await entry.start(0)
        await trio.sleep(killed_ms / 1000)
        guard.scope.cancel()
        again = await restart(endpoint, nursery)
        await again.start(1)
        while ref(1) not in endpoint.starts:
            await trio.sleep(0.002)
        endpoint.silent = True
        with trio.fail_after(10):
            while not again.outcomes():
                await trio.sleep(0.002)
        assert endpoint.lease_expired
