"""Placement of jobs whose callers may have left unnoticed."""

from __future__ import annotations

import trio

from borageward.messages.runs import RunOutcome
from tests.dispatch.test_dispatcher import Link, job
from tests.dispatch.test_dispatcher import (  # noqa: F401 Fixture.
    start_dispatcher,
)


async def check(dispatcher):
    """Check the dispatcher at the interval of the service."""
    while True:
        await trio.sleep(0.1)
        dispatcher.handle_state()


async def stay_in_contact(fleet, seconds):
    """Hear a guard every 50 ms."""
    for _ in range(int(seconds * 20)):
        fleet.heard_at_ms = trio.current_time() * 1000
        await trio.sleep(0.05)


async def lose_run(dispatcher, fleet):
    """Report the newest ordered run as lost, as after a cut."""
    guard, ref = fleet.orders[-1]
    dispatcher.handle_end(guard, ref, RunOutcome.LOST, 'cut')
    await trio.sleep(0.01)


async def test_lost_run_is_ordered_again_once_the_caller_is_known_to_be_there(
    start_dispatcher,  # noqa: F811 Fixture.
    nursery,
    autojump_clock,
):
    """Guards against a second run for a caller that has left in a cut.

    The entry is cut off for one second; a job that arrives afterwards is
    ordered at once.
    """
    dispatcher, fleet = start_dispatcher(Link('a'))
    nursery.start_soon(check, dispatcher)
    await stay_in_contact(fleet, 1)
    dispatcher.add(job('old', deadline_ms=9000))
    await stay_in_contact(fleet, 0.1)
    assert len(fleet.orders) == 1
    await trio.sleep(1)
    await lose_run(dispatcher, fleet)
    await stay_in_contact(fleet, 0.8)
    assert len(fleet.orders) == 1
    dispatcher.add(job('new', deadline_ms=9000))
    await stay_in_contact(fleet, 0.05)
    assert [ref.task.job_id for _, ref in fleet.orders] == ['old', 'new']
    await stay_in_contact(fleet, 0.8)
    assert [ref.run for _, ref in fleet.orders] == [1, 1, 2]


async def test_runs_of_jobs_in_doubt_are_stopped(
    start_dispatcher,  # noqa: F811 Fixture.
    nursery,
    autojump_clock,
):
    """Guards against runs that a resumed session extends for lost callers.

    Callers repeat their jobs before the entry learns that they have left.
    """
    dispatcher, fleet = start_dispatcher(Link('a'))
    nursery.start_soon(check, dispatcher)
    await stay_in_contact(fleet, 1)
    dispatcher.add(job('old', deadline_ms=9000))
    await stay_in_contact(fleet, 0.1)
    await trio.sleep(0.7)
    assert not fleet.stopped
    await stay_in_contact(fleet, 0.15)
    assert fleet.stopped == fleet.orders
