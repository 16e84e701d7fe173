"""Tests of how an entry combines the views of the control replicas."""

from __future__ import annotations

import collections

import pytest
import trio

from borageward.clock import SystemClock
from borageward.dispatch.directory import Directory
from borageward.failures import Failure, FailureReason
from borageward.messages.discovery import ClusterView, GuardAddress
from borageward.queues import QueueManifest, RequestLimits
from borageward.telemetry import EventLog

LIMITS = RequestLimits(1000, 1000, 1000, 1000)


def manifest(version):
    """Return a manifest without queues."""
    return QueueManifest(version, (), (), LIMITS, b'{}')


def guard(name):
    """Return the address of a guard."""
    return GuardAddress(name, f'127.0.0.1:{len(name)}', 'zone')


class Replicas:
    """Stub of the control replicas; calls to one without a view time out."""

    def __init__(self, **views):
        self.views = views
        self.polled = set()
        self.calls = collections.Counter()

    async def call(self, address, request, timeout_ms):
        """Return the view of a replica, or a time-out failure."""
        self.polled.add(address)
        self.calls[address] += 1
        await trio.sleep(0.001)
        view = self.views.get(address)
        if view is None:
            return Failure(FailureReason.TIMEOUT, address)
        return view


def view(version=0, guards=(), replicas=()):
    """Return a replica's view; version 0 means that it has no manifest."""
    known = manifest(version) if version else None
    return ClusterView(known, 1, tuple(guards), tuple(replicas))


@pytest.fixture
async def start_directory(nursery):
    """Return a function that starts a directory and lets it poll for 2 s."""

    async def start(replicas, seeds=('a',)):
        directory = Directory(
            seeds,
            replicas,
            lambda: None,
            lambda replica, cancellations: None,
            SystemClock(),
            EventLog(),
        )
        nursery.start_soon(directory.run)
        await trio.sleep(2)
        return directory

    return start


async def test_highest_manifest_of_all_replicas_is_used(
    start_directory, autojump_clock
):
    """Guards against the use of an outdated manifest.

    A replica that lags behind the others still reports an older version.
    """
    replicas = Replicas(a=view(3), b=view(7), c=view(5))
    directory = await start_directory(replicas, ('a', 'b', 'c'))
    assert directory.manifest.version == 7


async def test_manifest_never_goes_back(start_directory, autojump_clock):
    """Guards against a return to an older manifest.

    A replica that was restored from a backup reports a version below the one
    that the entry has already taken.
    """
    replicas = Replicas(a=view(7))
    directory = await start_directory(replicas)
    replicas.views['a'] = view(6)
    await trio.sleep(2)
    assert directory.manifest.version == 7


async def test_reported_replicas_are_polled_too(
    start_directory, autojump_clock
):
    """Guards against an entry that polls only its seeds.

    The seeds may be outdated; the replicas that answer name the current ones.
    """
    replicas = Replicas(a=view(1, replicas=('b',)), b=view(2))
    directory = await start_directory(replicas, ('a', 'gone'))
    assert directory.manifest.version == 2
    assert replicas.polled == {'a', 'b', 'gone'}


async def test_guards_of_all_replicas_count(start_directory, autojump_clock):
    """Guards against missing guards.

    Each replica lists only the guards that announced themselves to it.
    """
    replicas = Replicas(
        a=view(guards=(guard('x'),)),
        b=view(guards=(guard('yy'),)),
    )
    directory = await start_directory(replicas, ('a', 'b'))
    assert set(directory.guards) == {'x', 'yy'}


async def test_guards_are_kept_while_control_is_down(
    start_directory, autojump_clock
):
    """Guards against the loss of all guards while no replica answers."""
    replicas = Replicas(a=view(guards=(guard('x'),)))
    directory = await start_directory(replicas)
    replicas.views.clear()
    await trio.sleep(60)
    assert set(directory.guards) == {'x'}


async def test_guard_that_no_replica_lists_is_dropped(
    start_directory, autojump_clock
):
    """Guards against links to removed hosts being kept forever."""
    replicas = Replicas(a=view(guards=(guard('x'), guard('yy'))))
    directory = await start_directory(replicas)
    replicas.views['a'] = view(guards=(guard('x'),))
    await trio.sleep(30)
    assert set(directory.guards) == {'x'}


async def test_first_manifest_is_taken_soon(start_directory, autojump_clock):
    """Guards against a late first manifest.

    Callers wait while an entry has no manifest, so it has to poll more often
    than it does later.
    """
    replicas = Replicas(a=view(guards=(guard('x'),)))
    directory = await start_directory(replicas)
    replicas.views['a'] = view(3, guards=(guard('x'),))
    await trio.sleep(0.1)
    assert directory.manifest.version == 3


async def test_lost_replicas_do_not_slow_the_polls_down(
    start_directory, autojump_clock
):
    """Guards against a late manifest after many replicas were replaced.

    The addresses of removed replicas stay known.
    """
    replicas = Replicas(a=view(1, (guard('x'),), ('b', 'c', 'd', 'e', 'f')))
    await start_directory(replicas)
    replicas.calls.clear()
    await trio.sleep(2)
    assert replicas.calls['a'] >= 15


async def test_polls_of_an_entry_do_not_grow_with_the_replicas(
    start_directory, autojump_clock
):
    """Guards against calls in proportion to entries and replicas."""
    names = ('a', 'b', 'c', 'd', 'e')
    answer = view(1, (guard('x'),), names)
    replicas = Replicas(**dict.fromkeys(names, answer))
    await start_directory(replicas, names)
    replicas.calls.clear()
    await trio.sleep(2)
    assert sum(replicas.calls.values()) <= 25


@pytest.mark.parametrize(
    'odd',
    [
        GuardAddress('odd', '', 'zone'),
        GuardAddress('odd', '10.0.0.1:0', 'zone'),
        GuardAddress('odd', '10.0.0.1:99999999999', 'zone'),
        GuardAddress('odd', 'host:80', 'zone'),
        GuardAddress('', '10.0.0.1:80', 'zone'),
    ],
)
async def test_odd_guard_takes_no_place_in_the_list(
    start_directory, autojump_clock, odd
):
    """Guards against links that are missing because of invalid guards.

    A guard without a link counts as usable in the subset of an entry, so one
    that can never have a link would keep out another one.
    """
    replicas = Replicas(a=view(1, guards=(odd, guard('x'))))
    directory = await start_directory(replicas)
    assert set(directory.guards) == {'x'}
    replicas.views['a'] = view(2, guards=(odd, guard('yy')))
    await trio.sleep(2)
    assert 'yy' in directory.guards
    assert directory.manifest.version == 2
