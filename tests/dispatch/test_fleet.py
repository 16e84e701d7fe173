"""Links of an entry to a subset of the guards of a large fleet."""

from __future__ import annotations

import pytest
import trio

from borageward.clock import SystemClock
from borageward.dispatch.fleet import Fleet
from borageward.messages.discovery import GuardAddress
from borageward.policy.guard_subset import (
    GuardSubset,
    LinkDemand,
    SubsetSize,
)
from borageward.telemetry import EventLog

SIZE = SubsetSize(6, 12)


def guards_of(count):
    """Return guards that accept no connection: port 1 is closed."""
    guards = {}
    for number in range(count):
        name = f'guard-{number}'
        guards[name] = GuardAddress(name, '127.0.0.1:1', 'zone', 'pool')
    return guards


@pytest.fixture
def fleet():
    """Return the fleet of an entry without guards."""
    clock = SystemClock()
    subset = GuardSubset('entry', 'zone', LinkDemand(SIZE, clock))
    return Fleet(
        'incarnation',
        subset,
        lambda *_: None,
        lambda: None,
        clock,
        EventLog(),
    )


def names_of(fleet):
    """Return the names of the linked guards."""
    return {link.name for link in fleet.links()}


async def update_for(fleet, nursery, seconds):
    """Update the links every 100 ms for some time."""
    for _ in range(int(seconds * 10)):
        fleet.update_links(nursery)
        await trio.sleep(0.1)


async def test_entry_links_to_a_subset_of_a_large_fleet(
    fleet, nursery, autojump_clock
):
    """Guards against a session with every guard of the fleet."""
    fleet.replace_guards(guards_of(160))
    fleet.update_links(nursery)
    assert len(names_of(fleet)) == SIZE.base


async def test_guards_that_do_not_answer_are_replaced(
    fleet, nursery, autojump_clock
):
    """Guards against an entry that waits for its lost subset.

    The others are tried, but not the whole fleet at once.
    """
    fleet.replace_guards(guards_of(160))
    fleet.update_links(nursery)
    first = names_of(fleet)
    await update_for(fleet, nursery, 3)
    assert first < names_of(fleet)
    assert len(names_of(fleet)) <= 2 * SIZE.base


async def test_links_outside_the_subset_are_closed(
    fleet, nursery, autojump_clock
):
    """Guards against links that pile up as the fleet changes."""
    fleet.replace_guards(guards_of(160))
    fleet.update_links(nursery)
    remaining = {
        name: guard
        for name, guard in guards_of(160).items()
        if name not in names_of(fleet)
    }
    fleet.replace_guards(remaining)
    await update_for(fleet, nursery, 5)
    assert names_of(fleet) <= set(remaining)


async def test_shortage_adds_links(fleet, nursery, autojump_clock):
    """Guards against refusals at a busy entry while other guards have room."""
    fleet.replace_guards(guards_of(160))
    fleet.update_links(nursery)
    fleet.report_shortage('pool', '')
    fleet.update_links(nursery)
    assert len(names_of(fleet)) > SIZE.base
