"""Announcements that another writer has sent to a control replica."""

from __future__ import annotations

import random

import msgspec
import pytest
import trio
from hypothesis import given, settings, strategies

from borageward.clock import SystemClock
from borageward.control.cluster.registry import GuardRegistry
from borageward.messages.discovery import GuardAddress
from borageward.telemetry import EventLog
from borageward.transport import Address, parse_peer_address

GOOD = GuardAddress('host', '10.0.0.1:7', 'zone', 'pool', ('a',))
LONG_TEXT = 'x' * 300
# A view with all guards has to fit into one frame of 16 MiB.
MAX_ANNOUNCEMENT_BYTES = 70_000
MANY_DIGITS = '9' * 5000


@pytest.fixture
def registry():
    """Return a registry without guards."""
    return new_registry()


def new_registry():
    """Return a registry without guards."""
    return GuardRegistry(SystemClock(), EventLog(), random.Random(1))


@pytest.mark.parametrize(
    'changes',
    [
        {'link_address': ''},
        {'link_address': '10.0.0.1:0'},
        {'link_address': '10.0.0.1:65536'},
        {'link_address': f'10.0.0.1:{MANY_DIGITS}'},
        {'link_address': 'host:80'},
        {'host_name': ''},
        {'host_name': LONG_TEXT},
        {'zone': LONG_TEXT},
        {'pool': LONG_TEXT},
        {'labels': (LONG_TEXT,)},
        {'labels': tuple(map(str, range(1000)))},
    ],
)
async def test_odd_announcement_is_not_handed_on(registry, changes):
    """Guards against one announcement that breaks all entries.

    Every entry fetches the list with all guards, in one frame.
    """
    registry.announce(GOOD)
    version = registry.version()
    assert registry.announce(msgspec.structs.replace(GOOD, **changes))
    assert registry.live() == (GOOD,)
    assert registry.version() == version


async def test_guard_without_an_endpoint_is_listed(registry):
    """Guards against a check that refuses a guard that has just started."""
    guard = GuardAddress('host', '10.0.0.1:7', 'zone')
    assert not registry.announce(guard)
    assert registry.live() == (guard,)


TEXTS = strategies.text()
ADDRESSES = TEXTS | strategies.from_regex(r'[\d.:\[\]]+:\d*')


async def announced(guard):
    """Return the list of a new registry after an announcement."""
    registry = new_registry()
    registry.announce(guard)
    return registry.live()


@settings(max_examples=300, derandomize=True, database=None)
@given(
    strategies.builds(
        GuardAddress,
        TEXTS,
        ADDRESSES,
        TEXTS,
        TEXTS,
        strategies.lists(TEXTS).map(tuple),
    )
)
def test_listed_guards_can_be_linked(guard):
    """Guards against a listed guard that an entry cannot handle."""
    for listed in trio.run(announced, guard):
        assert isinstance(parse_peer_address(listed.link_address), Address)
        assert listed.host_name
        assert len(msgspec.msgpack.encode(listed)) < MAX_ANNOUNCEMENT_BYTES
