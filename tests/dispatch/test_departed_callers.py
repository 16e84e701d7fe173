"""Jobs whose caller has left when their tasks may be placed."""

from __future__ import annotations

import trio

from borageward.messages.runs import Demand
from tests.dispatch.test_dispatcher import CAPACITY, Link, job
from tests.dispatch.test_dispatcher import (  # noqa: F401 Fixture.
    start_dispatcher,
)

# Both events are handled in random order, so one round may show nothing.
ROUNDS = 40


async def serve(dispatcher, item, scope):
    """Run a job until its caller leaves, as the service does."""
    with scope:
        dispatcher.add(item)
        try:
            await item.wait()
        finally:
            dispatcher.remove(item)


async def test_task_is_not_placed_once_its_caller_has_left(
    start_dispatcher,  # noqa: F811 Fixture.
    nursery,
    autojump_clock,
):
    """Guards against a task that starts although its caller has left.

    An entry that stood still finds two events at the same time: the state of a
    guard with room, and the end of the caller's connection. The caller may have
    repeated the job at another entry.
    """
    for number in range(ROUNDS):
        link = Link('a', room=Demand())
        dispatcher, fleet = start_dispatcher(link)
        scope = trio.CancelScope()
        nursery.start_soon(serve, dispatcher, job(f'job-{number}'), scope)
        await trio.sleep(0.01)
        link.free = CAPACITY
        dispatcher.handle_state()
        scope.cancel()
        await trio.sleep(0.01)
        assert not fleet.orders
