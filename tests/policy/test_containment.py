"""Tests of the containment of queues whose tasks crash endpoints."""

from __future__ import annotations

import trio

from borageward.clock import SystemClock
from borageward.policy.containment import CrashContainment, containing_guards


async def test_queue_with_several_culprits_is_contained(autojump_clock):
    """Guards against one queue that takes down all endpoints of its pool.

    A single culprit may have been blamed by mistake.
    """
    containment = CrashContainment(SystemClock())
    containment.report_culprit('pool', 'deadly')
    assert not containment.contained_queue('pool')
    containment.report_culprit('pool', 'deadly')
    assert containment.contained_queue('pool') == 'deadly'
    assert not containment.contained_queue('other')


async def test_queue_is_released_after_a_calm_time(autojump_clock):
    """Guards against a queue kept to few endpoints for good."""
    containment = CrashContainment(SystemClock())
    for _ in range(2):
        containment.report_culprit('pool', 'deadly')
    await trio.sleep(7)
    assert not containment.contained_queue('pool')
    assert not containment.has_culprits


async def test_queue_with_few_of_many_culprits_is_not_contained(
    autojump_clock,
):
    """Guards against an innocent queue contained beside a deadly one."""
    containment = CrashContainment(SystemClock())
    for queue in ('innocent', 'innocent', 'deadly', 'deadly', 'deadly'):
        containment.report_culprit('pool', queue)
    assert containment.contained_queue('pool') == 'deadly'


def test_all_entries_contain_a_queue_at_the_same_endpoints():
    """Guards against parts that differ by entry and leave no safe endpoint."""
    guards = [f'guard-{number}' for number in range(11)]
    chosen = containing_guards(guards)
    assert len(chosen) == 4
    assert chosen == containing_guards(reversed(guards))
