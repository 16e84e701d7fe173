"""Jobs that are cancelled through an entry that does not own them."""

from __future__ import annotations

import collections
import random

import msgspec
import pytest
import trio

from borageward.clock import SystemClock
from borageward.control.cluster.cancellations import RecentCancellations
from borageward.dispatch import (
    CancelResult,
    DispatchService,
    JobRequest,
    StepSpec,
)
from borageward.failures import Failure, FailureReason
from borageward.messages.discovery import (
    ClusterView,
    FetchView,
    GuardAddress,
)
from borageward.messages.runs import Demand
from borageward.policy.guard_subset import (
    GuardSubset,
    LinkDemand,
    SubsetSize,
)
from borageward.queues import Queue, QueueManifest, RequestLimits
from borageward.telemetry import EventLog

MANIFEST = QueueManifest(3, (), (), RequestLimits(1000, 1000, 1000, 1000), b'')
GUARD = GuardAddress('host', '127.0.0.1:1', 'zone', 'pool')
NAMES = ('a', 'b', 'c')
# Shorter than the time in which a job without endpoints is never refused.
DEADLINE_MS = 1900
# Shorter than the interval in which every replica is polled.
SOON_S = 0.1


class Replica:
    """Control replica that answers views, unless it is ``silent``."""

    def __init__(self):
        self.silent = False
        self.is_old = False
        self.calls = 0
        self.reports = 0
        self.restart(seed=1)

    def restart(self, seed):
        """Lose what is kept in memory."""
        self._store = RecentCancellations(SystemClock(), random.Random(seed))

    def view(self, request):
        """Answer one request."""
        self.calls += 1
        if self.is_old:
            return ClusterView(MANIFEST, 1, (GUARD,), NAMES)
        self.reports += len(request.reports)
        self._store.add(request.reports)
        return ClusterView(
            MANIFEST,
            1,
            (GUARD,),
            NAMES,
            self._store.version,
            self._store.since(request.cancellations_version),
        )


class Control:
    """Stub of the control replicas ``a``, ``b`` and ``c``."""

    def __init__(self):
        self.replicas = {name: Replica() for name in NAMES}

    def __getitem__(self, name):
        return self.replicas[name]

    def silence(self, *names):
        """Let these replicas answer nothing more."""
        for name in names:
            self[name].silent = True

    def calls_of(self, *cut_off):
        """Return the calls of an entry that does not reach some replicas."""

        class Calls:
            async def call(calls, address, request, timeout_ms):  # noqa: N805
                await trio.sleep(0.001)
                if address in cut_off or self[address].silent:
                    await trio.sleep(timeout_ms / 1000)
                    return Failure(FailureReason.TIMEOUT, address)
                return self[address].view(request)

        return Calls()


class RecordingLog(EventLog):
    """Event log that keeps all events of some names."""

    def __init__(self):
        super().__init__()
        self.events = []

    def event(self, name, **fields):
        """Keep the fields of an event."""
        self.events.append((name, fields))

    def named(self, name):
        """Return the fields of the events of a name."""
        return [fields for known, fields in self.events if known == name]


@pytest.fixture
def control():
    """Return control replicas that all answer."""
    return Control()


@pytest.fixture
async def start_entry(nursery, control):
    """Return a function that starts an entry and lets it find control."""

    async def start(*cut_off, log=None):
        clock = SystemClock()
        service = DispatchService(
            NAMES,
            GuardSubset('entry', 'zone', LinkDemand(SubsetSize(), clock)),
            lambda _: control.calls_of(*cut_off),
            clock,
            log or EventLog(),
        )
        await service.start(nursery)
        return service

    return start


@pytest.fixture
def submit(nursery):
    """Return a function that submits a job and returns its outcomes."""

    async def run(service, outcomes, deadline_ms):
        queue = Queue('q', 'host', '/q/', 'pool', 0, 2, 1.6, 60, 1500)
        steps = (StepSpec(1, Demand(1000, 10), 100),)
        request = JobRequest('job', 'spec', steps, queue, deadline_ms)
        outcomes.append(await service.submit(request))

    async def start(service, deadline_ms=DEADLINE_MS):
        outcomes = []
        nursery.start_soon(run, service, outcomes, deadline_ms)
        await trio.sleep(0.01)
        return outcomes

    return start


def reasons(outcomes):
    """Return the reasons of outcomes."""
    return [outcome.reason for outcome in outcomes]


async def test_job_ends_that_another_entry_cancels(
    autojump_clock, start_entry, submit
):
    """Guards against a cancelled job that goes on.

    The connection of the first request to cancel it was reset, and the retry
    reached an entry that does not own the job.
    """
    log = RecordingLog()
    owner, other = await start_entry(log=log), await start_entry()
    await trio.sleep(1)
    outcomes = await submit(owner)
    assert await other.cancel('job') is CancelResult.REPORTED
    await trio.sleep(0.5)
    assert reasons(outcomes) == ['cancelled']
    assert not owner.open_jobs
    assert len(log.named('job_cancelled')) == 1
    assert log.named('job_cancelled')[0]['origin'] in NAMES


async def test_own_job_ends_at_once(autojump_clock, start_entry, submit):
    """Guards against an answer that waits for control."""
    owner = await start_entry()
    await trio.sleep(1)
    await submit(owner)
    started = trio.current_time()
    assert await owner.cancel('job') is CancelResult.ENDED
    assert trio.current_time() == started


async def test_both_entries_with_a_job_end_it(
    autojump_clock, start_entry, submit
):
    """Guards against a copy of a cancelled job that goes on.

    The job was submitted again at another entry after a broken connection.
    """
    owner, other = await start_entry(), await start_entry()
    await trio.sleep(1)
    await submit(owner)
    outcomes = await submit(other)
    assert await owner.cancel('job') is CancelResult.ENDED
    await trio.sleep(0.5)
    assert reasons(outcomes) == ['cancelled']


async def test_report_is_answered_soon(autojump_clock, start_entry):
    """Guards against callers that wait for the next poll of each replica."""
    entry = await start_entry()
    await trio.sleep(1)
    started = trio.current_time()
    assert await entry.cancel('job') is CancelResult.REPORTED
    assert trio.current_time() - started < SOON_S


async def test_cancellation_without_control_is_not_acknowledged(
    autojump_clock, start_entry, control
):
    """Guards against an acknowledgement of what no owner will hear of."""
    entry = await start_entry()
    await trio.sleep(1)
    control.silence(*NAMES)
    assert await entry.cancel('job') is CancelResult.UNKNOWN


async def test_cancellation_before_the_first_view_is_not_acknowledged(
    autojump_clock, start_entry, control
):
    """Guards against an acknowledgement by an entry that has just started."""
    control.silence(*NAMES)
    entry = await start_entry()
    assert await entry.cancel('job') is CancelResult.UNKNOWN


@pytest.mark.parametrize('silent', [('a',), ('b', 'c'), ('a', 'c')])
async def test_silent_replicas_do_not_keep_a_job_alive(
    autojump_clock, start_entry, control, submit, silent
):
    """Guards against a cancellation that waits for a frozen replica."""
    owner, other = await start_entry(), await start_entry()
    await trio.sleep(1)
    control.silence(*silent)
    outcomes = await submit(owner)
    assert await other.cancel('job') is CancelResult.REPORTED
    await trio.sleep(0.5)
    assert reasons(outcomes) == ['cancelled']


async def test_entries_that_reach_different_majorities(
    autojump_clock, start_entry, submit
):
    """Guards against a report that only other replicas than the owner's have.

    Each entry is cut off from another replica.
    """
    owner, other = await start_entry('a'), await start_entry('b')
    await trio.sleep(1)
    outcomes = await submit(owner)
    assert await other.cancel('job') is CancelResult.REPORTED
    await trio.sleep(0.5)
    assert reasons(outcomes) == ['cancelled']


async def test_replica_that_restarts_after_the_acknowledgement(
    autojump_clock, start_entry, control, submit
):
    """Guards against a cancellation that is lost with one replica's memory."""
    owner, other = await start_entry(), await start_entry()
    await trio.sleep(1)
    outcomes = await submit(owner)
    assert await other.cancel('job') is CancelResult.REPORTED
    control['a'].restart(seed=2)
    await trio.sleep(0.5)
    assert reasons(outcomes) == ['cancelled']


async def test_restarted_replica_gets_recent_reports_again(
    autojump_clock, start_entry, control, submit
):
    """Guards against a cancellation that the only reachable replica forgot."""
    owner, other = await start_entry('b', 'c'), await start_entry('b', 'c')
    await trio.sleep(0.1)
    outcomes = await submit(owner)
    assert await other.cancel('job') is CancelResult.REPORTED
    control['a'].restart(seed=2)
    control['a'].silent = True
    await trio.sleep(0.7)
    assert not outcomes
    control['a'].silent = False
    await trio.sleep(0.7)
    assert reasons(outcomes) == ['cancelled']


async def test_one_of_three_replicas_does_not_acknowledge(
    autojump_clock, start_entry, control
):
    """Guards against a cancellation that is lost with one replica.

    The others have just frozen and may be the ones that the owner reaches.
    """
    entry = await start_entry()
    await trio.sleep(1)
    control.silence('b', 'c')
    with trio.move_on_after(0.3) as scope:
        await entry.cancel('job')
    assert scope.cancelled_caught


async def test_job_submitted_after_its_cancellation_goes_on(
    autojump_clock, start_entry, control, submit
):
    """Guards against the end of a new job with the id of a cancelled one.

    A replica that was silent hands the old cancellation on later.
    """
    owner, other = await start_entry(), await start_entry()
    await trio.sleep(1)
    control.silence('c')
    assert await other.cancel('job') is CancelResult.REPORTED
    await trio.sleep(0.1)
    outcomes = await submit(owner, deadline_ms=800)
    control['c'].silent = False
    await trio.sleep(2)
    assert reasons(outcomes) == ['deadline passed']


async def test_replica_of_an_earlier_release_acknowledges_nothing(
    autojump_clock, start_entry, control, submit
):
    """Guards against an acknowledgement by replicas that ignore reports."""
    for name in NAMES:
        control[name].is_old = True
    entry = await start_entry()
    await trio.sleep(1)
    assert await entry.cancel('job') is CancelResult.UNKNOWN
    control['b'].is_old = False
    await trio.sleep(1)
    owner = await start_entry()
    outcomes = await submit(owner)
    assert await entry.cancel('job') is CancelResult.REPORTED
    await trio.sleep(0.5)
    assert reasons(outcomes) == ['cancelled']


async def test_many_cancellations_share_calls(
    autojump_clock, start_entry, control
):
    """Guards against one call to each replica for each cancellation."""
    entry = await start_entry()
    await trio.sleep(1)
    for replica in control.replicas.values():
        replica.calls = 0
    results = []

    async def cancel(number):
        results.append(await entry.cancel(f'job-{number}'))

    async with trio.open_nursery() as nursery:
        for number in range(500):
            nursery.start_soon(cancel, number)
            await trio.sleep(0.002)
    assert collections.Counter(results) == {CancelResult.REPORTED: 500}
    for replica in control.replicas.values():
        assert replica.calls <= 25
        assert replica.reports == 500


async def test_cancellations_beyond_the_bound_are_not_acknowledged(
    autojump_clock, start_entry, control
):
    """Guards against memory in proportion to a storm of requests."""
    entry = await start_entry()
    await trio.sleep(1)
    control.silence(*NAMES)
    results = []

    async def cancel(number):
        results.append(await entry.cancel(f'job-{number}'))

    async with trio.open_nursery() as nursery:
        for number in range(6000):
            nursery.start_soon(cancel, number)
        await trio.sleep(0.5)
        assert len(results) == 1000
    assert collections.Counter(results) == {CancelResult.UNKNOWN: 6000}


class EarlierFetchView(msgspec.Struct, array_like=True, tag='FetchView'):
    """Request as the release before knows it."""

    manifest_version: int
    guards_version: int


class EarlierClusterView(msgspec.Struct, array_like=True, tag='ClusterView'):
    """Reply as the release before knows it."""

    manifest: QueueManifest | None
    guards_version: int
    guards: tuple[GuardAddress, ...] | None
    replicas: tuple[str, ...]


@pytest.mark.parametrize(
    ('message', 'kind'),
    [
        (FetchView(1, 2, 3), EarlierFetchView),
        (EarlierFetchView(1, 2), FetchView),
        (ClusterView(None, 2, None, NAMES, 3), EarlierClusterView),
        (EarlierClusterView(None, 2, None, NAMES), ClusterView),
    ],
)
def test_releases_read_each_other(message, kind):
    """Guards against processes that stop during a rolling update."""
    encoded = msgspec.msgpack.encode(message)
    decoded = msgspec.msgpack.decode(encoded, type=kind)
    assert decoded.guards_version == 2
