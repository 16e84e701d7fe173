"""Choice of the guards that an entry keeps links to."""

from __future__ import annotations

import collections

import pytest

from borageward.messages.discovery import GuardAddress
from borageward.policy.guard_subset import (
    GuardSubset,
    LinkDemand,
    SubsetSize,
)

ZONES = ('a', 'b', 'c', 'd', 'e', 'f')
SIZE = SubsetSize(24, 48)


class ManualClock:
    """Clock that the test advances."""

    def __init__(self):
        self.time_ms = 0

    def now_ms(self):
        """Return the time of the test."""
        return self.time_ms


@pytest.fixture
def clock():
    """Return a clock at time 0."""
    return ManualClock()


def fleet_of(count, pool='pool'):
    """Return guards spread evenly over the zones."""
    return [
        GuardAddress(
            f'{pool}-{number}',
            f'10.0.0.{number}:1',
            ZONES[number % len(ZONES)],
            pool,
            ('rare',) if number % 40 == 0 else (),
        )
        for number in range(count)
    ]


def subset_of(entry, zone, guards, clock):
    """Return the subset of an entry among guards."""
    subset = GuardSubset(entry, zone, LinkDemand(SIZE, clock))
    subset.update(guards)
    return subset


def usable(_):
    """Treat every guard as usable."""
    return True


@pytest.mark.parametrize('count', [160, 320, 740])
def test_links_of_an_entry_do_not_grow_with_the_fleet(clock, count):
    """Guards against heartbeats in proportion to both classes of hosts."""
    subset = subset_of('entry', 'a', fleet_of(count), clock)
    assert len(subset.choose(usable)) == SIZE.base


def test_small_fleet_is_linked_completely(clock):
    """Guards against unused endpoints in a small deployment."""
    guards = fleet_of(11)
    assert len(subset_of('entry', 'a', guards, clock).choose(usable)) == 11


def test_every_guard_is_held_by_a_similar_number_of_entries(clock):
    """Guards against endpoints that only few entries can use.

    35 entries hold 24 of 160 guards each, so a guard is held by 5.25.
    """
    guards = fleet_of(160)
    holders = collections.Counter()
    for number in range(35):
        zone = ZONES[number % len(ZONES)]
        subset = subset_of(f'front-{number}', zone, guards, clock)
        holders.update(subset.choose(usable))
    counts = [holders[guard.host_name] for guard in guards]
    assert counts.count(0) <= 2
    assert max(counts) <= 3 * 5.25


def test_half_of_the_links_stay_in_the_zone(clock):
    """Guards against a subset that is lost or far away as a whole.

    Links to other zones are needed when the own zone is cut off.
    """
    guards = fleet_of(160)
    zones = {guard.host_name: guard.zone for guard in guards}
    chosen = subset_of('entry', 'a', guards, clock).choose(usable)
    near = sum(zones[name] == 'a' for name in chosen)
    assert near == SIZE.base / 2
    assert len({zones[name] for name in chosen}) == len(ZONES)


def test_lost_guards_are_replaced(clock):
    """Guards against an entry whose whole subset is cut off or killed."""
    subset = subset_of('entry', 'a', fleet_of(160), clock)
    lost = subset.choose(usable)
    replaced = subset.choose(lambda name: name not in lost)
    assert lost <= replaced
    assert len(replaced - lost) == SIZE.base


def test_entry_that_is_cut_off_calls_a_bounded_number_of_guards(clock):
    """Guards against a connection attempt to each guard of the fleet."""
    subset = subset_of('entry', 'a', fleet_of(740), clock)
    assert len(subset.choose(lambda _: False)) == 2 * SIZE.base


def test_added_and_removed_guards_change_few_links(clock):
    """Guards against a wave of reconnections when the fleet changes."""
    guards = fleet_of(160)
    subset = subset_of('entry', 'a', guards, clock)
    before = subset.choose(usable)
    subset.update([*guards[5:], GuardAddress('new', '10.0.1.1:1', 'b', 'pool')])
    after = subset.choose(usable)
    assert len(before - after) <= 6


def test_subset_grows_during_a_shortage_and_shrinks_afterwards(clock):
    """Guards against refusals at one busy entry while others have room."""
    subset = subset_of('entry', 'a', fleet_of(160), clock)
    for _ in range(10):
        subset.demand.report_shortage('pool')
        clock.time_ms += 200
    assert len(subset.choose(usable)) == SIZE.most
    clock.time_ms += 5000
    assert len(subset.choose(usable)) == SIZE.base


def test_each_pool_has_its_own_links(clock):
    """Guards against a small pool that is missing from the subset."""
    guards = [*fleet_of(160, 'large'), *fleet_of(3, 'small')]
    chosen = subset_of('entry', 'a', guards, clock).choose(usable)
    assert sum(name.startswith('small') for name in chosen) == 3


def test_guards_with_a_required_label_are_linked(clock):
    """Guards against jobs refused because no linked guard has their label."""
    guards = fleet_of(160)
    subset = subset_of('entry', 'a', guards, clock)
    subset.demand.report_label('pool', 'rare')
    rare = {guard.host_name for guard in guards if guard.labels}
    assert rare <= subset.choose(usable)
