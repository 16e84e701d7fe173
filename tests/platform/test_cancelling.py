"""DELETE of a job at an entry that does not own it."""

from __future__ import annotations

import json

import pytest
import trio

from borageward.clock import SystemClock
from borageward.control.cluster import ClusterService
from borageward.control.cluster.options import ClusterOptions
from borageward.control.storage import FileDisk
from borageward.discovery import ReplicaCalls
from borageward.dispatch import DispatchService
from borageward.failures import Failure
from borageward.http import HttpRequest
from borageward.policy.guard_subset import (
    GuardSubset,
    LinkDemand,
    SubsetSize,
)
from borageward.queues import Queue, QueueManifest, RequestLimits
from borageward.settings import ControlAddress
from borageward.telemetry import EventLog
from borageward_platform.ingress import Ingress
from standins.ports import free_addresses

QUEUE = Queue('q', 'h', '/a/', 'pool', 0, 3, 1.6, 60, 1500)
LIMITS = RequestLimits(1000, 1000, 1000, 1000)
MANIFEST = QueueManifest(1, (QUEUE,), (), LIMITS, b'{}')
JOB_ID = '5c0e7a21d94b36f8'
PATH = f'/a/{JOB_ID}'
DEADLINE_MS = 20_000
JOB = json.dumps(
    {
        'spec': 'x',
        'best_effort': True,
        'steps': [{'count': 1, 'cpu': 500, 'est_runtime_ms': 90}],
    }
).encode()


class RecordingLog(EventLog):
    """Event log that keeps the reasons for which jobs have ended."""

    def __init__(self):
        super().__init__()
        self.reasons = []

    def event(self, name, **fields):
        """Keep the reason of an end."""
        if name == 'job_ended':
            self.reasons.append(fields['reason'])


def request(method, body=b'', path=PATH):
    """Return a request of a caller."""
    headers = {'host': 'h', 'deadline-ms': str(DEADLINE_MS)}
    return HttpRequest(method, path, headers, body)


@pytest.fixture
def addresses():
    """Return the addresses of a replica, for operators and processes."""
    return free_addresses(2)


@pytest.fixture
async def control(nursery, tmp_path, addresses):
    """Start one control replica with a manifest."""
    operators, address = addresses
    seeds = (ControlAddress(operators, address),)
    options = ClusterOptions(operators, address, seeds, True, 0, tmp_path)
    disk = FileDisk(tmp_path)
    service = ClusterService(options, disk, SystemClock(), EventLog())
    await service.start(nursery)
    while isinstance(await service.publish(MANIFEST, 1000), Failure):
        await trio.sleep(0.02)
    yield service
    await service.close()


@pytest.fixture
async def start_entry(nursery, control, addresses):
    """Return a function that starts an entry and waits for its manifest."""
    started = []

    async def start():
        clock = SystemClock()
        log = RecordingLog()
        service = DispatchService(
            addresses[1:],
            GuardSubset('entry', 'zone', LinkDemand(SubsetSize(), clock)),
            ReplicaCalls,
            clock,
            log,
        )
        await service.start(nursery)
        started.append(service)
        while service.routes is None:
            await trio.sleep(0.02)
        return service, Ingress(service, log), log

    yield start
    for service in started:
        await service.close()


async def test_job_that_another_entry_cancels_ends(start_entry):
    """Guards against a cancelled job that goes on until its deadline."""
    service, owner, log = await start_entry()
    _, other, _ = await start_entry()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(owner.answer, request('POST', JOB))
        while service.find(JOB_ID) is None:
            await trio.sleep(0.01)
        # A job that has started is not refused for lack of endpoints.
        service.find(JOB_ID).ordered = True
        response = await other.answer(request('DELETE'))
    assert response.status == 410
    assert log.reasons == ['cancelled']


async def test_entry_that_reaches_no_control_does_not_answer_gone(
    start_entry, control
):
    """Guards against an acknowledgement of what no owner will hear of."""
    _, entry, _ = await start_entry()
    await control.close()
    response = await entry.answer(request('DELETE'))
    assert response.status == 503
    assert dict(response.headers)['Retry-After']


async def test_malformed_id_is_gone_without_a_report(start_entry, control):
    """Guards against reports of ids that no job can have."""
    _, entry, _ = await start_entry()
    await control.close()
    response = await entry.answer(request('DELETE', path='/a/unknown'))
    assert response.status == 410
