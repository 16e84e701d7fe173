"""The dispatch service of an entry: first manifest, and ends of jobs."""

from __future__ import annotations

import trio

from borageward.clock import SystemClock
from borageward.dispatch import DispatchService, JobRequest, StepSpec
from borageward.failures import Failure, FailureReason
from borageward.messages.discovery import ClusterView
from borageward.messages.runs import Demand
from borageward.policy.guard_subset import (
    GuardSubset,
    LinkDemand,
    SubsetSize,
)
from borageward.queues import Queue, QueueManifest, RequestLimits
from borageward.telemetry import EventLog

MANIFEST = QueueManifest(3, (), (), RequestLimits(1000, 1000, 1000, 1000), b'')


class Replica:
    """Stub of a control replica that answers from ``ready_s`` on."""

    def __init__(self, ready_s):
        self._ready_s = ready_s

    async def call(self, address, request, timeout_ms):
        """Return the manifest, or a broken link before the replica starts."""
        await trio.sleep(0.001)
        if trio.current_time() < self._ready_s:
            return Failure(FailureReason.LINK_BROKEN, address)
        return ClusterView(MANIFEST, 1, (), ())


class RecordingLog(EventLog):
    """Event log that keeps the fields of the last event of each name."""

    def __init__(self):
        super().__init__()
        self.last = {}

    def event(self, name, **fields):
        """Keep the fields of an event."""
        self.last[name] = fields


async def start_service(nursery, ready_s=0, log=None):
    """Return a service whose replica answers ``ready_s`` from now on."""
    started = trio.current_time()
    clock = SystemClock()
    service = DispatchService(
        ('a',),
        GuardSubset('entry', 'zone', LinkDemand(SubsetSize(), clock)),
        lambda _: Replica(started + ready_s),
        clock,
        log or EventLog(),
    )
    await service.start(nursery)
    return service


def request(deadline_ms):
    """Return a request for a job that no endpoint can run."""
    queue = Queue('q', 'host', '/q/', 'pool', 0, 2, 1.6, 60, 1500)
    steps = (StepSpec(1, Demand(1000, 10), 100),)
    return JobRequest('job', 'spec', steps, queue, deadline_ms)


async def wait_routes(nursery, ready_s):
    """Return the routes and the milliseconds that a caller waited for them."""
    started = trio.current_time()
    service = await start_service(nursery, ready_s)
    routes = await service.wait_routes()
    return routes, (trio.current_time() - started) * 1000


async def test_caller_waits_for_the_first_manifest(nursery, autojump_clock):
    """Guards against refusals during a restart of the whole system.

    The entry may receive requests shortly before control can send it the
    manifest.
    """
    routes, waited_ms = await wait_routes(nursery, 0.4)
    assert routes is not None
    assert waited_ms < 500


async def test_caller_does_not_wait_long_without_control(
    nursery, autojump_clock
):
    """Guards against callers kept waiting until their deadline.

    While control is down, no manifest arrives.
    """
    routes, waited_ms = await wait_routes(nursery, 60)
    assert routes is None
    assert waited_ms <= 1001


async def test_log_says_that_the_deadline_of_a_job_has_passed(
    nursery, autojump_clock
):
    """Guards against a log that blames the caller for a missed deadline."""
    log = RecordingLog()
    service = await start_service(nursery, log=log)
    await service.submit(request(deadline_ms=300))
    assert log.last['job_ended']['reason'] == 'deadline passed'
    assert log.last['job_ended']['verdict'] == 'refused'


async def test_log_says_that_the_caller_of_a_job_has_left(
    nursery, autojump_clock
):
    """Guards against a log that hides callers who give up."""
    log = RecordingLog()
    service = await start_service(nursery, log=log)
    with trio.move_on_after(0.1):
        await service.submit(request(deadline_ms=3000))
    assert log.last['job_ended']['reason'] == 'caller left'


async def test_waiting_job_is_refused_before_its_entry_ends(
    nursery, autojump_clock
):
    """Guards against a connection that closes without an answer.

    No run of the job was ordered, so its caller may send it elsewhere.
    """
    service = await start_service(nursery)
    outcomes = []

    async def submit():
        outcomes.append(await service.submit(request(deadline_ms=30_000)))

    nursery.start_soon(submit)
    await trio.sleep(0.1)
    service.refuse_waiting(remaining_ms=500)
    await trio.sleep(0.1)
    assert not outcomes
    service.refuse_waiting(remaining_ms=50)
    await trio.sleep(0.1)
    assert [item.verdict.value for item in outcomes] == ['refused']


async def test_ordered_job_expires_when_its_entry_ends(nursery, autojump_clock):
    """Guards against a refusal of a job that may have run."""
    service = await start_service(nursery)
    outcomes = []

    async def submit():
        outcomes.append(await service.submit(request(deadline_ms=30_000)))

    nursery.start_soon(submit)
    await trio.sleep(0.1)
    service.find('job').ordered = True
    service.refuse_waiting(remaining_ms=0)
    await trio.sleep(0.1)
    assert not outcomes
    service.end_jobs()
    await trio.sleep(0.1)
    assert [item.verdict.value for item in outcomes] == ['expired']
