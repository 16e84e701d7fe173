"""Placement of all jobs of an entry, on a fleet in memory."""

from __future__ import annotations

import random

import pytest
import trio

from borageward.clock import SystemClock
from borageward.dispatch.dispatcher import Dispatcher
from borageward.dispatch.job import Job
from borageward.dispatch.request import JobRequest, JobVerdict, StepSpec
from borageward.messages.runs import Demand, EndpointState, RunOutcome
from borageward.policy.run_placement import GoalPlacement
from borageward.queues import Queue
from borageward.telemetry import EventLog

CAPACITY = Demand(4000, 4000)


class Link:
    """Guard as the dispatcher sees it."""

    def __init__(self, name, room=CAPACITY, **state):
        self.name = name
        self._room = room
        fields = {'accepting': True, 'slowness': 1, 'failing': 0, **state}
        self.state = EndpointState(
            0,
            0,
            endpoint_id=name,
            pool='pool',
            labels=(),
            capacity=CAPACITY,
            room=room,
            sessions=1,
            **fields,
        )

    def room(self):
        """Return the room."""
        return self._room

    def ordered(self):
        """Return the demand of the entry's runs."""
        return Demand()


class Fleet:
    """Guards in memory; orders and stops are noted."""

    def __init__(self, *links):
        self._links = links
        self.orders = []
        self.stopped = []

    def links(self):
        """Return the links."""
        return self._links

    def order(self, guard, message, ref, waited_ms):
        """Note an order."""
        self.orders.append((guard, ref))

    def flush(self):
        """Send nothing."""

    def stop(self, runs):
        """Note stops."""
        self.stopped.extend(runs)


@pytest.fixture
def dispatching(nursery):
    """Return what runs a dispatcher on links."""

    def start(*links):
        fleet = Fleet(*links)
        dispatcher = Dispatcher(
            fleet,
            GoalPlacement(random.Random(1)),
            SystemClock(),
            EventLog(),
        )
        nursery.start_soon(dispatcher.run)
        return dispatcher, fleet

    return start


async def starting_is_over():
    """Wait until an entry may know all of its endpoints."""
    await trio.sleep(2.1)


def job(job_id='job', count=1, priority=0, estimate_ms=100, deadline_ms=2000):
    """Return a job of one step."""
    queue = Queue('q', 'host', '/q/', 'pool', priority, 2, 1.6, 60, 1500)
    steps = (StepSpec(count, Demand(1000, 10), estimate_ms),)
    request = JobRequest(job_id, 'spec', steps, queue, deadline_ms)
    return Job(request, trio.current_time() * 1000)


async def test_tasks_spread_over_free_endpoints(dispatching, autojump_clock):
    """Guards against a job whose tasks wait behind each other."""
    dispatcher, fleet = dispatching(Link('a'), Link('b'))
    dispatcher.add(job(count=8))
    await trio.sleep(0.1)
    guards = [guard for guard, _ in fleet.orders]
    assert (guards.count('a'), guards.count('b')) == (4, 4)


async def test_refused_job_was_never_ordered(dispatching, autojump_clock):
    """Guards against a refusal of work that may have run."""
    dispatcher, fleet = dispatching(Link('a', Demand()))
    await starting_is_over()
    jobs = [job(f'job-{number}', count=8) for number in range(12)]
    for item in jobs:
        dispatcher.add(item)
    await trio.sleep(0.1)
    ordered = {ref.task.job_id for _, ref in fleet.orders}
    refused = {
        item.request.job_id
        for item in jobs
        if item.outcome and item.outcome.verdict is JobVerdict.REFUSED
    }
    assert refused
    assert not ordered & refused


async def test_nothing_is_refused_while_there_is_room(
    dispatching, autojump_clock
):
    """Guards against a refusal by a job whose goal cannot be met anyway."""
    dispatcher, fleet = dispatching(Link('a'))
    late = job(estimate_ms=5000, deadline_ms=100)
    dispatcher.add(late)
    await trio.sleep(0.05)
    assert fleet.orders
    assert late.outcome is None


async def test_failed_task_goes_to_another_endpoint(
    dispatching, autojump_clock
):
    """Guards against all attempts on an endpoint that fails them."""
    dispatcher, fleet = dispatching(Link('a'), Link('b', slowness=1.4))
    item = job()
    dispatcher.add(item)
    await trio.sleep(0.01)
    first, ref = fleet.orders[0]
    dispatcher.take_end(first, ref, RunOutcome.FAILED, 'failed')
    await trio.sleep(0.01)
    second, _ = fleet.orders[1]
    assert first != second
    dispatcher.take_end(second, fleet.orders[1][1], RunOutcome.FAILED, '')
    assert item.outcome.verdict is JobVerdict.FAILED


async def test_end_of_an_earlier_run_is_ignored(dispatching, autojump_clock):
    """Guards against a late report that completes the wrong run."""
    dispatcher, fleet = dispatching(Link('a'))
    item = job()
    dispatcher.add(item)
    await trio.sleep(0.01)
    guard, ref = fleet.orders[0]
    dispatcher.take_end(guard, ref, RunOutcome.LOST, 'lost')
    await trio.sleep(0.01)
    dispatcher.take_end(guard, ref, RunOutcome.DONE, 'late')
    assert item.outcome is None
    assert fleet.orders[1][1].run == 2


async def test_removed_job_stops_its_runs(dispatching, autojump_clock):
    """Guards against work for a caller that has left."""
    dispatcher, fleet = dispatching(Link('a'))
    item = job(count=2)
    dispatcher.add(item)
    await trio.sleep(0.01)
    dispatcher.remove(item)
    assert len(fleet.stopped) == 2


async def test_urgent_job_goes_first_when_room_is_scarce(
    dispatching, autojump_clock
):
    """Guards against short work behind long work at the worst load."""
    room = Demand(1000, 4000)
    dispatcher, fleet = dispatching(Link('a', room))
    dispatcher.add(job('long', priority=2, estimate_ms=1500, deadline_ms=9000))
    dispatcher.add(job('short', priority=0))
    await trio.sleep(0.01)
    _, ref = fleet.orders[0]
    assert ref.task.job_id == 'short'


async def test_entry_that_has_just_started_refuses_nothing(
    dispatching, autojump_clock
):
    """Guards against refusals before the endpoints are known."""
    dispatcher, _ = dispatching()
    jobs = [job(f'job-{number}', count=8) for number in range(12)]
    for item in jobs:
        dispatcher.add(item)
    await trio.sleep(0.5)
    assert all(item.outcome is None for item in jobs)
