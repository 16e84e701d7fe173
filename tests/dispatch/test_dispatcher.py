"""Tests of the placement of all jobs of an entry, with stub links."""

from __future__ import annotations

import math
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
    """Stub of the link to a guard, with a fixed state."""

    def __init__(self, name, room=CAPACITY, **state):
        self.name = name
        # Tests change it like a later state of the guard.
        self.free = room
        self.is_answering = True
        fields = {'accepting': True, 'slowness': 1, 'failure_share': 0, **state}
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
        """Return the free capacity."""
        return self.free

    def ordered(self):
        """Return the demand of the entry's runs."""
        return Demand()


class Fleet:
    """Stub of the fleet that records the orders and the stopped runs."""

    def __init__(self, *links):
        self._links = links
        self.orders = []
        self.stopped = []
        self.shortages = 0
        # No silence begins before a guard was heard.
        self.heard_at_ms = -math.inf

    def links(self):
        """Return the links of the test."""
        return self._links

    def heard_ms(self):
        """Return when a guard was heard, as the test says."""
        return self.heard_at_ms

    def order(self, guard, message, ref, waited_ms):
        """Record an order."""
        self.orders.append((guard, ref))

    def report_shortage(self, pool, label):
        """Count the tasks that found no endpoint."""
        self.shortages += 1

    def flush(self):
        """Do nothing; orders are recorded at once."""

    def stop(self, runs):
        """Record stopped runs."""
        self.stopped.extend(runs)


@pytest.fixture
def start_dispatcher(nursery):
    """Return a function that starts a dispatcher on links."""

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


async def wait_for_startup():
    """Wait until the entry has run long enough to refuse jobs."""
    await trio.sleep(2.1)


def job(job_id='job', count=1, priority=0, estimate_ms=100, deadline_ms=2000):
    """Return a job with one step of ``count`` tasks."""
    queue = Queue('q', 'host', '/q/', 'pool', priority, 2, 1.6, 60, 1500)
    steps = (StepSpec(count, Demand(1000, 10), estimate_ms),)
    request = JobRequest(job_id, 'spec', steps, queue, deadline_ms)
    return Job(request, trio.current_time() * 1000)


async def test_tasks_spread_over_free_endpoints(
    start_dispatcher, autojump_clock
):
    """Guards against tasks of one job queued at one endpoint.

    The other endpoint has room for half of them.
    """
    dispatcher, fleet = start_dispatcher(Link('a'), Link('b'))
    dispatcher.add(job(count=8))
    await trio.sleep(0.1)
    guards = [guard for guard, _ in fleet.orders]
    assert (guards.count('a'), guards.count('b')) == (4, 4)


async def test_refused_job_was_never_ordered(start_dispatcher, autojump_clock):
    """Guards against the refusal of a job that may have run.

    A caller may submit a refused job again, so a job with an ordered run must
    not be refused, however long its other tasks wait.
    """
    dispatcher, fleet = start_dispatcher(Link('a', Demand()))
    await wait_for_startup()
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
    start_dispatcher, autojump_clock
):
    """Guards against the refusal of a job while an endpoint is free.

    The estimated run time of the job is so long that its goal cannot be met,
    but it delays no other job.
    """
    dispatcher, fleet = start_dispatcher(Link('a'))
    late = job(estimate_ms=5000, deadline_ms=100)
    dispatcher.add(late)
    await trio.sleep(0.05)
    assert fleet.orders
    assert late.outcome is None


async def test_failed_task_goes_to_another_endpoint(
    start_dispatcher, autojump_clock
):
    """Guards against attempts that all fail on the same endpoint.

    Without a record of the failure, the task could be placed there again.
    """
    dispatcher, fleet = start_dispatcher(Link('a'), Link('b', slowness=1.4))
    item = job()
    dispatcher.add(item)
    await trio.sleep(0.01)
    first, ref = fleet.orders[0]
    dispatcher.handle_end(first, ref, RunOutcome.FAILED, 'failed')
    await trio.sleep(0.01)
    second, _ = fleet.orders[1]
    assert first != second
    dispatcher.handle_end(second, fleet.orders[1][1], RunOutcome.FAILED, '')
    assert item.outcome.verdict is JobVerdict.FAILED


async def test_suspects_run_on_different_endpoints(
    start_dispatcher, autojump_clock
):
    """Guards against innocent tasks that go along with a deadly one.

    All three tasks saw the endpoint crash. If they run together again, the
    next crash says no more about which of them caused it.
    """
    links = [Link('a')] + [Link(name, slowness=2) for name in 'bcd']
    dispatcher, fleet = start_dispatcher(*links)
    item = job(count=3, estimate_ms=500)
    dispatcher.add(item)
    await trio.sleep(0.01)
    assert {guard for guard, _ in fleet.orders} == {'a'}
    for guard, ref in tuple(fleet.orders):
        dispatcher.handle_end(guard, ref, RunOutcome.CRASHED, 'crashed')
    fleet.orders.clear()
    await trio.sleep(0.01)
    assert len({guard for guard, _ in fleet.orders}) == 3


async def test_second_crash_under_a_single_suspect_fails_its_job(
    start_dispatcher, autojump_clock
):
    """Guards against a task that crashes endpoint after endpoint."""
    dispatcher, fleet = start_dispatcher(Link('a'), Link('b'))
    item = job()
    dispatcher.add(item)
    for _ in range(2):
        await trio.sleep(0.01)
        guard, ref = fleet.orders[-1]
        dispatcher.handle_end(guard, ref, RunOutcome.CRASHED, 'crashed')
    await trio.sleep(0.01)
    assert item.outcome.verdict is JobVerdict.FAILED
    assert len(fleet.orders) == 2


async def test_second_crash_under_two_suspects_fails_neither(
    start_dispatcher, autojump_clock
):
    """Guards against an innocent job failed for a deadly task beside it.

    There is one endpoint only, so both suspects run there again.
    """
    dispatcher, fleet = start_dispatcher(Link('a'))
    item = job(count=2)
    dispatcher.add(item)
    for _ in range(2):
        await trio.sleep(0.01)
        for guard, ref in fleet.orders[-2:]:
            dispatcher.handle_end(guard, ref, RunOutcome.CRASHED, 'crashed')
    assert item.outcome is None


async def test_end_of_an_earlier_run_is_ignored(
    start_dispatcher, autojump_clock
):
    """Guards against a task completed by the late end of an earlier run.

    The first run was reported lost and a second one ordered when the guard
    reports that the first one is done.
    """
    dispatcher, fleet = start_dispatcher(Link('a'))
    item = job()
    dispatcher.add(item)
    await trio.sleep(0.01)
    guard, ref = fleet.orders[0]
    dispatcher.handle_end(guard, ref, RunOutcome.LOST, 'lost')
    await trio.sleep(0.01)
    dispatcher.handle_end(guard, ref, RunOutcome.DONE, 'late')
    assert item.outcome is None
    assert fleet.orders[1][1].run == 2


async def test_removed_job_stops_its_runs(start_dispatcher, autojump_clock):
    """Guards against runs that go on after their caller has left."""
    dispatcher, fleet = start_dispatcher(Link('a'))
    item = job(count=2)
    dispatcher.add(item)
    await trio.sleep(0.01)
    dispatcher.remove(item)
    assert len(fleet.stopped) == 2


async def test_resubmitted_job_waits_for_the_runs_of_its_predecessor(
    start_dispatcher, autojump_clock
):
    """Guards against two runs of one task after a resubmission.

    The caller repeats its job through the same entry before the guard has
    confirmed that the run of the first submission has ended.
    """
    dispatcher, fleet = start_dispatcher(Link('a'), Link('b'))
    first = job()
    dispatcher.add(first)
    await trio.sleep(0.01)
    guard, ref = fleet.orders[0]
    dispatcher.remove(first)
    dispatcher.add(job())
    await trio.sleep(1)
    assert len(fleet.orders) == 1
    dispatcher.handle_end(guard, ref, RunOutcome.LOST, 'stopped')
    await trio.sleep(0.01)
    assert fleet.orders[1][1].run == 2


async def test_end_at_another_guard_does_not_end_a_run(
    start_dispatcher, autojump_clock
):
    """Guards against a second run of a task whose first one is at work.

    A guard reports the end of a run that has the number of the run at another
    guard.
    """
    dispatcher, fleet = start_dispatcher(Link('a'))
    dispatcher.add(job())
    await trio.sleep(0.01)
    _, ref = fleet.orders[0]
    dispatcher.handle_end('b', ref, RunOutcome.LOST, 'lost')
    await trio.sleep(0.1)
    assert len(fleet.orders) == 1


async def test_urgent_job_goes_first_when_room_is_scarce(
    start_dispatcher, autojump_clock
):
    """Guards against short tasks delayed by long ones under peak load.

    There is room for one task only, and the less urgent job arrived first.
    """
    room = Demand(1000, 4000)
    dispatcher, fleet = start_dispatcher(Link('a', room))
    dispatcher.add(job('long', priority=2, estimate_ms=1500, deadline_ms=9000))
    dispatcher.add(job('short', priority=0))
    await trio.sleep(0.01)
    _, ref = fleet.orders[0]
    assert ref.task.job_id == 'short'


async def test_entry_that_has_just_started_refuses_nothing(
    start_dispatcher, autojump_clock
):
    """Guards against refusals while the entry does not know its endpoints.

    Right after the start no cores are known, so every job seems to wait too
    long.
    """
    dispatcher, _ = start_dispatcher()
    jobs = [job(f'job-{number}', count=8) for number in range(12)]
    for item in jobs:
        dispatcher.add(item)
    await trio.sleep(0.5)
    assert all(item.outcome is None for item in jobs)


async def test_guard_that_does_not_answer_is_left_out(
    start_dispatcher, autojump_clock
):
    """Guards against jobs sent to a guard that froze a moment ago."""
    silent, answering = Link('silent'), Link('answering')
    silent.is_answering = False
    dispatcher, fleet = start_dispatcher(silent, answering)
    dispatcher.add(job(count=3))
    await trio.sleep(0.1)
    assert {guard for guard, _ in fleet.orders} == {'answering'}


async def test_state_starts_no_round_while_nothing_waits(
    start_dispatcher, autojump_clock, monkeypatch
):
    """Guards against a placement round for each state of an idle fleet."""
    dispatcher, fleet = start_dispatcher(Link('guard'))
    dispatcher.add(job(count=2))
    await trio.sleep(0.1)
    assert len(fleet.orders) == 2
    rounds = []
    monkeypatch.setattr(dispatcher, 'wake', lambda: rounds.append(1))
    dispatcher.handle_state()
    assert not rounds


async def test_state_starts_a_round_while_a_task_waits(
    start_dispatcher, autojump_clock
):
    """Guards against a task that waits although an endpoint has room again."""
    link = Link('guard', Demand())
    dispatcher, fleet = start_dispatcher(link)
    dispatcher.add(job(estimate_ms=1000, deadline_ms=5000))
    await trio.sleep(0.1)
    assert not fleet.orders
    link.free = CAPACITY
    dispatcher.handle_state()
    await trio.sleep(0.1)
    assert len(fleet.orders) == 1
