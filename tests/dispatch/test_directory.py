"""What an entry believes of manifest and guards."""

from __future__ import annotations

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
    """Control replicas with a view each; a missing one does not answer."""

    def __init__(self, **views):
        self.views = views
        self.asked = set()

    async def call(self, address, request, timeout_ms):
        """Return the view of a replica."""
        self.asked.add(address)
        await trio.sleep(0.001)
        view = self.views.get(address)
        if view is None:
            return Failure(FailureReason.TIMEOUT, address)
        return view


def view(version=0, guards=(), replicas=()):
    """Return a view that lists everything."""
    known = manifest(version) if version else None
    return ClusterView(known, 1, tuple(guards), tuple(replicas))


@pytest.fixture
async def directory_of(nursery):
    """Return what runs a directory on replicas for a while."""

    async def follow(replicas, seeds=('a',)):
        directory = Directory(
            seeds,
            replicas,
            lambda: None,
            SystemClock(),
            EventLog(),
        )
        nursery.start_soon(directory.run)
        await trio.sleep(2)
        return directory

    return follow


async def test_highest_manifest_of_all_replicas_is_used(
    directory_of, autojump_clock
):
    """Guards against the manifest of a replica that lags behind."""
    replicas = Replicas(a=view(3), b=view(7), c=view(5))
    directory = await directory_of(replicas, ('a', 'b', 'c'))
    assert directory.manifest.version == 7


async def test_manifest_never_goes_back(directory_of, autojump_clock):
    """Guards against an old manifest from a replica that was restored."""
    replicas = Replicas(a=view(7))
    directory = await directory_of(replicas)
    replicas.views['a'] = view(6)
    await trio.sleep(2)
    assert directory.manifest.version == 7


async def test_named_replicas_are_asked_too(directory_of, autojump_clock):
    """Guards against an entry that only knows outdated seeds."""
    replicas = Replicas(a=view(1, replicas=('b',)), b=view(2))
    directory = await directory_of(replicas, ('a', 'gone'))
    assert directory.manifest.version == 2
    assert replicas.asked == {'a', 'b', 'gone'}


async def test_guards_of_all_replicas_count(directory_of, autojump_clock):
    """Guards against a guard that one replica has not heard."""
    replicas = Replicas(
        a=view(guards=(guard('x'),)),
        b=view(guards=(guard('yy'),)),
    )
    directory = await directory_of(replicas, ('a', 'b'))
    assert set(directory.guards) == {'x', 'yy'}


async def test_guards_are_kept_while_control_is_down(
    directory_of, autojump_clock
):
    """Guards against an entry that forgets its guards with control."""
    replicas = Replicas(a=view(guards=(guard('x'),)))
    directory = await directory_of(replicas)
    replicas.views.clear()
    await trio.sleep(60)
    assert set(directory.guards) == {'x'}


async def test_guard_that_no_replica_lists_is_dropped(
    directory_of, autojump_clock
):
    """Guards against links to hosts that were taken away."""
    replicas = Replicas(a=view(guards=(guard('x'), guard('yy'))))
    directory = await directory_of(replicas)
    replicas.views['a'] = view(guards=(guard('x'),))
    await trio.sleep(30)
    assert set(directory.guards) == {'x'}


async def test_first_manifest_is_taken_soon(directory_of, autojump_clock):
    """Guards against callers that wait for an entry that has started."""
    replicas = Replicas(a=view(guards=(guard('x'),)))
    directory = await directory_of(replicas)
    replicas.views['a'] = view(3, guards=(guard('x'),))
    await trio.sleep(0.1)
    assert directory.manifest.version == 3
