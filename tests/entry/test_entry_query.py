"""Queries to a running entry: rows, limits and errors."""

from __future__ import annotations

import msgspec
import pytest
import trio

from borageward.entry import querysource
from borageward.entry.http import MAX_QUERY_BYTES
from borageward.failures import FailureReason
from borageward.identity import format_job_id
from borageward.messages.query import EntrySnapshot, JobState
from tests.entry.cluster import JobText, running_cluster


async def _run_query(cluster, sentence):
    body = msgspec.json.encode({'sentence': sentence})
    answer = await cluster.request(0, 'POST', '/v1/query', body)
    assert answer.status == 200, answer.document
    return msgspec.convert(answer.document, EntrySnapshot)


async def test_jobs_and_workers_are_shown(autojump_clock, nursery):
    """Guards against a query that misses an open job, a refusal or a guard.

    The entry runs one job at two guards and has refused another one.
    """
    async with running_cluster(entries=1) as cluster:
        job = JobText(16, ms=5000)
        nursery.start_soon(cluster.submit, 0, job)
        await trio.sleep(1)
        other = JobText(1)
        body = other.body.replace(b'dispatch', b'd')
        await cluster.request(0, 'POST', '/v1/jobs', body)
        shown = await _run_query(cluster, 'show running jobs')
        refused = await _run_query(cluster, 'show refused jobs')
        workers = (await _run_query(cluster, 'show workers')).workers
        await trio.sleep(10)
        assert not (await _run_query(cluster, 'show running jobs')).jobs
    row = shown.jobs[0]
    assert (row.job_id, row.tasks) == (format_job_id(job.job_id), 16)
    assert set(row.workers) == {'w0', 'w1'}
    assert row.places
    assert shown.entry == 'e0'
    assert shown.incarnation
    found = [job.job_id for job in refused.jobs]
    assert found == [format_job_id(other.job_id)]
    assert refused.jobs[0].state is JobState.REFUSED
    assert refused.jobs[0].reason is FailureReason.UNKNOWN_SERVICE
    assert sorted(worker.worker for worker in workers) == ['w0', 'w1']
    assert all(worker.slots == 8 for worker in workers)


async def test_long_snapshot_is_truncated(autojump_clock, nursery, monkeypatch):
    """Guards against a query that blocks an entry with many open jobs.

    The event loop is blocked while a snapshot is taken. Jobs beyond the limit
    on tasks must be left out and counted as omitted.
    """
    monkeypatch.setattr(querysource, 'MAX_SNAPSHOT_TASKS', 10)
    async with running_cluster(entries=1) as cluster:
        jobs = [JobText(4, ms=5000) for _index in range(3)]
        for job in jobs:
            nursery.start_soon(cluster.submit, 0, job)
        await trio.sleep(1)
        shown = await _run_query(cluster, 'show jobs')
        await trio.sleep(10)
    assert len(shown.jobs) == 2
    assert shown.omitted == 1


_BODIES = {  # noqa: WPS407 read only
    'empty': (b'', 400),
    'not_json': (b'{', 400),
    'deep': (b'{"sentence":'.ljust(10_000, b'['), 400),
    'no_sentence': (b'{}', 400),
    'wrong_sentence': (b'{"sentence":"drop jobs"}', 400),
    'of_control': (b'{"sentence":"show services"}', 400),
    'limit': (b'{"sentence":"show jobs","limit":10001}', 400),
    'too_large': (b' ' * (MAX_QUERY_BYTES + 1), 413),
}


@pytest.mark.parametrize('name', _BODIES)
async def test_bad_queries_are_typed(autojump_clock, name):
    """Guards against a refused query with no reason or with a wrong status."""
    body, status = _BODIES[name]
    async with running_cluster(entries=1) as cluster:
        answer = await cluster.request(0, 'POST', '/v1/query', body)
        wrong_method = await cluster.request(0, 'GET', '/v1/query')
    assert answer.status == status
    assert answer.document['reason']
    assert wrong_method.status == 405
