"""Faults of guards, control and entries at every step of a job.

The tests check only the journals of the runners and the callers' answers.
"""

from __future__ import annotations

import itertools

import pytest
import trio

from tests.entry.cluster import JobText, running_cluster

GUARD_FAULTS = (
    'break_before',
    'break_after',
    'kill',
    'restart',
    'duplicate',
    'delay',
)
GUARD_STEPS = ('StartTasks', 'TasksFinished', 'Acknowledge', 'Settled')
CONTROL_STEPS = ('Claim', 'Finish', 'TakeOver', 'Heartbeat', 'Watch')
CONTROL_FAULTS = ('lost', 'refused', 'delayed')


def _faults():
    guard = itertools.product(('guard',), GUARD_STEPS, GUARD_FAULTS)
    control = itertools.product(('control',), CONTROL_STEPS, CONTROL_FAULTS)
    return [*guard, *control, ('guard', 'StartTasks', 'refuse')]


def _arm(cluster, fault, member):
    target, step, kind = fault
    if target == 'guard':
        cluster.guards[member].faults[step] = kind
    else:
        control = cluster.entries[member].control
        control.faults[step] = kind


async def _submit_all(cluster, jobs):
    async with trio.open_nursery() as callers:
        for number, job in enumerate(jobs):
            callers.start_soon(cluster.submit, number % 2, job)


def _jobs():
    return [
        JobText(6, idempotent=number % 3 > 0, deadline_ms=8000)
        for number in range(4)
    ]


@pytest.mark.parametrize('fault', _faults(), ids='-'.join)
async def test_one_fault(autojump_clock, fault):
    """Guards against a second start or a wrong answer after one fault.

    One guard, or the connection of one entry to control, fails once at the
    given message, and all jobs are submitted again at the other entry.
    """
    async with running_cluster() as cluster:
        _arm(cluster, fault, 0)
        jobs = _jobs()
        await _submit_all(cluster, jobs)
        # The callers submit each job again at the other entry.
        await _submit_all(cluster, list(reversed(jobs)))
    assert len(cluster.answers) == 8


@pytest.mark.parametrize('number', range(40))
async def test_two_faults(autojump_clock, number):
    """Guards against faults that are handled alone but not together.

    The 40 cases are spread evenly over all pairs of single faults.
    """
    pairs = list(itertools.combinations(_faults(), 2))
    first, second = pairs[number * len(pairs) // 40]
    async with running_cluster(slots=3) as cluster:
        _arm(cluster, first, 0)
        _arm(cluster, second, number % 2)
        jobs = _jobs()
        await _submit_all(cluster, jobs)
        await _submit_all(cluster, list(reversed(jobs)))
    assert len(cluster.answers) == 8


HARMLESS = ('break_after', 'break_before', 'duplicate', 'delay', 'refuse')


@pytest.mark.parametrize('step', ('StartTasks', 'TasksFinished'))
@pytest.mark.parametrize('kind', HARMLESS)
async def test_work_completes_despite(autojump_clock, step, kind):
    """Guards against failing tasks after a fault that loses no work.

    The connection breaks, or a message is repeated, delayed or refused.
    """
    async with running_cluster() as cluster:
        _arm(cluster, ('guard', step, kind), 0)
        job = JobText(12, deadline_ms=8000)
        answer = await cluster.submit(0, job)
    assert answer.document['state'] == 'complete'


@pytest.mark.parametrize('second_ms', (1600, 1700, 1720, 1740, 1800, 2000))
@pytest.mark.parametrize('fault', ('', 'Fence', 'Settle', 'StartTasks'))
async def test_second_owner_killed(autojump_clock, second_ms, fault):
    """Guards against a third owner that knows only the second owner.

    The first owner is killed, then the second during its takeover. The third
    must also fence the first, whose tasks may still run.
    """
    async with running_cluster(entries=3, slots=3) as cluster:
        jobs = [JobText(count, ms=250) for count in (5, 6, 7)]
        async with trio.open_nursery() as callers:
            for job in jobs:
                callers.start_soon(cluster.submit, 0, job)
            await trio.sleep(0.1)
            cluster.entries[0].kill()
            if fault:
                cluster.guards[0].faults[fault] = 'delay'
            for again in jobs:
                callers.start_soon(cluster.submit, 1, again)
            await trio.sleep(second_ms / 1000)
            cluster.entries[1].kill()
        for last in jobs:
            await cluster.submit(2, last)
    states = {answer.document['state'] for answer in cluster.answers}
    assert states <= {'complete', 'failed'}


async def test_takeover_asks_guards_outside_the_subset(autojump_clock):
    """Guards against a second start of a task after a takeover.

    The entry that takes over links to other guards than the killed owner, and
    must ask those of the owner as well.
    """
    async with running_cluster(guards=6, subset=2) as cluster:
        jobs = [JobText(count, ms=300) for count in (5, 6, 7)]
        async with trio.open_nursery() as callers:
            for job in jobs:
                callers.start_soon(cluster.submit, 0, job)
            await trio.sleep(0.1)
            cluster.entries[0].kill()
        for again in jobs:
            await cluster.submit(1, again)
    states = [answer.document['state'] for answer in cluster.answers]
    assert states == ['complete', 'complete', 'complete']


async def test_not_idempotent_is_sent_once(autojump_clock):
    """Guards against a retry of tasks that must run at most once.

    A guard refuses tasks that are not idempotent after their start was sent.
    """
    async with running_cluster() as cluster:
        _arm(cluster, ('guard', 'StartTasks', 'refuse'), 0)
        answer = await cluster.submit(0, JobText(6, idempotent=False))
    states = [task['run_state'] for task in answer.document['tasks']]
    assert states.count('not_run') == 3


KILL_TIMES_MS = (1, 5, 15, 40, 70, 120, 300)


@pytest.mark.parametrize('guard_fault', ['', 'kill', 'break_after', 'lost'])
@pytest.mark.parametrize('kill_ms', KILL_TIMES_MS)
async def test_entry_killed(autojump_clock, kill_ms, guard_fault):
    """Guards against lost or repeated tasks after an entry is killed.

    The entry is killed at several times during its jobs, alone or with a
    second fault, and the callers submit the jobs again at the other entry.
    """
    async with running_cluster(slots=3) as cluster:
        if guard_fault == 'lost':
            _arm(cluster, ('control', 'TakeOver', guard_fault), 1)
        elif guard_fault:
            cluster.guards[1].faults['StartTasks'] = guard_fault
        jobs = _jobs()
        async with trio.open_nursery() as callers:
            for job in jobs:
                callers.start_soon(cluster.submit, 0, job)
            await trio.sleep(kill_ms / 1000)
            cluster.entries[0].kill()
        killed_at = trio.current_time()
        known = len(cluster.answers)
        async with trio.open_nursery() as again:
            for resubmitted in jobs:
                again.start_soon(cluster.submit, 1, resubmitted)
        took_s = trio.current_time() - killed_at
    assert len(cluster.answers) == known + 4
    # A guard that is killed too ends when its own lease of 3 s expires.
    # A lost reply of control adds the timeout of the call.
    lease_s = {'kill': 3, 'lost': 4}.get(guard_fault, 0)
    assert took_s < 3 + lease_s, 'the outcome is due within 3 s'
