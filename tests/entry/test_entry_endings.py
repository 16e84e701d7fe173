"""Early ends of jobs, draining, loss of control, and answers by job id."""

from __future__ import annotations

import pytest
import trio

from tests.entry.cluster import JobText, running_cluster


@pytest.mark.parametrize('entry', (0, 1))
@pytest.mark.parametrize('fault', ('', 'break_before', 'kill', 'delay'))
async def test_cancel(autojump_clock, entry, fault):
    """Guards against a task that runs after it was answered ``not_run``.

    A guard may miss, delay or lose the ``Withdraw`` message of a cancelled
    job, and the cancellation may arrive at an entry that does not own it.
    """
    async with running_cluster(slots=2) as cluster:
        if fault:
            cluster.guards[0].faults['Withdraw'] = fault
        cluster.guards[1].capacity = 1
        job = JobText(12, ms=300)
        async with trio.open_nursery() as callers:
            callers.start_soon(cluster.submit, 0, job)
            await trio.sleep(0.1)
            cancelled = await cluster.request(entry, 'DELETE', job.path)
        assert cancelled.document['reason'] == 'cancelled'
        assert cancelled.document == cluster.answers[0].document
        states = [task['run_state'] for task in cancelled.document['tasks']]
        if not fault:
            assert len(cluster.journal) == 3, 'a withdrawn task started'
        if fault != 'kill':
            assert states.count('not_run') == 12 - len(cluster.journal)
        await trio.sleep(5)


@pytest.mark.parametrize('fault', ('', 'break_before', 'delay', 'kill'))
async def test_deadline(autojump_clock, fault):
    """Guards against a task that starts after its job was answered.

    The job reaches its deadline while tasks are queued and a guard may not
    have handled the ``StartTasks`` message.
    """
    async with running_cluster(slots=2) as cluster:
        if fault:
            cluster.guards[0].faults['StartTasks'] = fault
        job = JobText(40, ms=300, deadline_ms=1000)
        answer = await cluster.submit(0, job)
        started = len(cluster.journal)
        assert answer.status == 504
        # A ``not_run`` of any task is recorded before it is answered.
        assert cluster.state.claims[job.job_id]['outcome'] is not None
        await trio.sleep(5)
    assert len(cluster.journal) == started


async def test_drain_interrupts_nothing(autojump_clock):
    """Guards against a drain that fails jobs accepted before it.

    The drain starts while three jobs run; only new jobs may be refused.
    """
    async with running_cluster(slots=2) as cluster:
        core = cluster.entries[0].core
        async with trio.open_nursery() as callers:
            for count in (5, 6, 7):
                callers.start_soon(cluster.submit, 0, JobText(count, ms=200))
            await trio.sleep(0.05)
            callers.start_soon(core.drain)
            await trio.sleep(0.05)
            ready = await cluster.request(0, 'GET', '/readyz')
            refused = await cluster.submit(0, JobText(1))
        await core.leave()
        outcomes = [claim['outcome'] for claim in cluster.state.claims.values()]
    assert ready.status == 503
    assert refused.document['reason'] == 'shutting_down'
    states = [answer.document['state'] for answer in cluster.answers]
    assert states.count('complete') == 3
    assert None not in outcomes


@pytest.mark.parametrize('cut_s', (1, 2, 6))
async def test_entry_cut_off_from_control(autojump_clock, cut_s):
    """Guards against starts under an incarnation that control has ended.

    While the entry cannot reach control its lease expires, and the jobs are
    submitted again at another entry.
    """
    async with running_cluster(slots=2) as cluster:
        jobs = [
            JobText(count, ms=400, deadline_ms=15_000) for count in (50, 60)
        ]
        async with trio.open_nursery() as callers:
            for job in jobs:
                callers.start_soon(cluster.submit, 0, job)
            await trio.sleep(0.3)
            cluster.entries[0].control.cut_off = True
            await trio.sleep(cut_s)
            cluster.entries[0].control.cut_off = False
            for again in jobs:
                callers.start_soon(cluster.submit, 1, again)
        # The entry must register again before it accepts jobs.
        await trio.sleep(2)
        fresh = await cluster.submit(0, JobText(2))
    assert fresh.document['state'] == 'complete'


async def test_answers_are_found_anywhere(autojump_clock):
    """Guards against an answer that only the first caller can read.

    The job is submitted and read at both entries, of which one owns it.
    """
    async with running_cluster() as cluster:
        job = JobText(3, ms=500)
        async with trio.open_nursery() as callers:
            callers.start_soon(cluster.submit, 0, job)
            callers.start_soon(cluster.submit, 1, job)
            await trio.sleep(0.1)
            running = await cluster.request(1, 'GET', job.path)
        found = [await cluster.request(at, 'GET', job.path) for at in (0, 1)]
        missing = await cluster.request(0, 'GET', JobText().path)
    assert running.status == 202
    assert missing.status == 404
    documents = [answer.document for answer in (*found, *cluster.answers)]
    assert all(document == documents[0] for document in documents)
    assert documents[0]['state'] == 'complete'


async def test_other_body_is_a_conflict(autojump_clock):
    """Guards against answering a job with the answer of a different one.

    Another body is submitted under the id of a running and of an ended job.
    """
    async with running_cluster() as cluster:
        job = JobText(3)
        other = JobText(3, ms=70)
        other.body = other.body.replace(
            other.path.split('/')[-1].encode(),
            job.path.split('/')[-1].encode(),
        )
        async with trio.open_nursery() as callers:
            callers.start_soon(cluster.submit, 0, job)
            await trio.sleep(0.02)
            early = await cluster.request(0, 'POST', '/v1/jobs', other.body)
        refused = [
            await cluster.request(at, 'POST', '/v1/jobs', other.body)
            for at in (0, 1)
        ]
    assert early.status == 409
    assert cluster.answers[0].status == 200
    assert [answer.status for answer in refused] == [409, 409]
