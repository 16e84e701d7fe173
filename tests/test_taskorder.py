"""Order of ready tasks in tests."""

from __future__ import annotations

import trio
from trio.testing import MockClock

from tests.taskorder import seed_task_order

TASKS = 20


async def order_of_ready_tasks():
    """Return the order in which tasks that are ready together run."""
    order = []

    async def note(number):
        await trio.sleep(1)
        order.append(number)

    async with trio.open_nursery() as nursery:
        for number in range(TASKS):
            nursery.start_soon(note, number)
    return order


def run_with_seed(seed):
    """Return the order of a run with a seed, in virtual time."""
    seed_task_order(seed)
    return trio.run(order_of_ready_tasks, clock=MockClock(autojump_threshold=0))


def test_seed_decides_the_order_of_ready_tasks():
    """Guards against tests whose verdict differs between runs."""
    assert run_with_seed(1) == run_with_seed(1)
    assert run_with_seed(1) != run_with_seed(2)
