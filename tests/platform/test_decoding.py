"""Tests of the decoding of messages of operators, callers and endpoints."""

from __future__ import annotations

import json
from types import MappingProxyType

import pytest

from borageward.dispatch import JobRequest
from borageward.http import HttpReply, HttpRequest
from borageward.messages.runs import Demand, RunOutcome, RunRef, TaskKey
from borageward.queues import QueueManifest, QueueRoutes
from borageward.runs import EndedRun, EndpointStatus, ListedRun, StartReply
from borageward.telemetry import EventLog
from borageward_platform import endpointclient, ingress
from borageward_platform.manifests import decode_manifest
from borageward_platform.reports import ReportServer, decode_report
from borageward_platform.tasknames import format_task, parse_task

ROUTE = MappingProxyType(
    {
        'name': 'r-1',
        'host': 'Nony.example',
        'path_prefix': '/a/',
        'type': 'non_idempotent',
        'timeout_ms': 1500,
        'target_latency_ms': 60,
        'priority': 1,
        'service': 's',
        'max_attempts': 3,
        'stretch': 1.6,
    }
)
MANIFEST = MappingProxyType(
    {
        'version': 7,
        'routes': [dict(ROUTE)],
        'services': [{'name': 's', 'admission_check': True}],
    }
)
REPORT = MappingProxyType(
    {
        'service': 's',
        'address': '10.0.0.1:8080',
        'state': 'ready',
        'seq': 4,
        'born': 17,
        'capacity': {'cpu': 16_000, 'mem_mb': 1024, 'gpu': 0},
        'labels': ['a', 'r1-1'],
        'unknown': {'a': 1},
    }
)


def changed(document, **fields):
    """Return a document with changed fields as the body of a request."""
    return json.dumps({**document, **fields}).encode()


def test_manifest_is_decoded_and_kept():
    """Guards against a manifest that differs from the published one.

    Operators read back the body as they sent it, while the decoded queues
    come from fields with other names.
    """
    body = changed(MANIFEST)
    manifest = decode_manifest(body)
    assert isinstance(manifest, QueueManifest)
    assert manifest.document == body
    queue = manifest.queues[0]
    assert (queue.pool, queue.priority, queue.max_attempts) == ('s', 1, 3)


@pytest.mark.parametrize(
    'body',
    [
        changed(MANIFEST)[:-9],
        b'\xff\xfe',
        b'[]',
        changed(MANIFEST, routes=[{**ROUTE, 'service': 'other'}]),
        changed(MANIFEST, routes=[{**ROUTE, 'timeout_ms': 0}]),
        changed(MANIFEST, routes=[dict(ROUTE), {**ROUTE, 'name': 'r-2'}]),
        changed(MANIFEST, version='7'),
    ],
)
def test_invalid_manifest_is_refused(body):
    """Guards against an invalid manifest that is stored and put in force.

    Truncated text, bad UTF-8, wrong types, an unknown pool, a timeout of zero
    and two routes for the same host and path must each give an error text.
    """
    assert isinstance(decode_manifest(body), str)


def test_longest_prefix_of_the_host_wins():
    """Guards against a request that is routed to the wrong queue.

    The prefix of one queue starts with that of the other; a request that
    matches both belongs to the longer one.
    """
    nested = {**ROUTE, 'name': 'r-2', 'path_prefix': '/a/b/'}
    manifest = decode_manifest(changed(MANIFEST, routes=[dict(ROUTE), nested]))
    routes = QueueRoutes(manifest.queues)
    assert routes.find('nony.example', '/a/b/1').name == 'r-2'
    assert routes.find('nony.example', '/a/c').name == 'r-1'
    assert routes.find('nony.example', '/b') is None
    assert routes.find('other.example', '/a/c') is None


def test_report_is_decoded():
    """Guards against fields of a report that are swapped while decoding.

    The fields are passed to the status by position, and unknown ones must be
    ignored.
    """
    status = decode_report('i-1', changed(REPORT, state='draining'))
    assert status == EndpointStatus(
        'i-1',
        17,
        '10.0.0.1:8080',
        's',
        Demand(16_000, 1024),
        ('a', 'r1-1'),
        draining=True,
        sequence=4,
    )


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'\xff',
        changed(REPORT, state='other'),
        changed(REPORT, seq='4'),
        changed(REPORT, capacity=None),
        changed({}, service='s'),
    ],
)
def test_invalid_report_is_refused(body):
    """Guards against an endpoint status made from an invalid report.

    An empty body, bad UTF-8, an unknown state, wrong types and missing fields
    must each give an error text.
    """
    assert isinstance(decode_report('i-1', body), str)


class LeavingRecorder:
    """Run service that records which endpoint has left."""

    def __init__(self):
        self.left = None

    def report_leaving(self, endpoint_id, born_ms):
        self.left = (endpoint_id, born_ms)


@pytest.mark.parametrize(
    ('body', 'born_ms'),
    [
        (b'{"born":17,"seq":4}', 17),
        (b'', 0),
        (b'\xff', 0),
        (b'{"born":"17"}', 0),
    ],
)
async def test_leaving_message_names_the_incarnation_that_left(body, born_ms):
    """Guards against a delayed message that ends a later incarnation.

    The body may name the start time of the endpoint; without it, the message
    applies to any incarnation with the id.
    """
    runs = LeavingRecorder()
    server = ReportServer(runs, EventLog())
    request = HttpRequest('DELETE', '/v1/instances/i-1', {}, body)
    assert (await server.answer(request)).status == 200
    assert runs.left == ('i-1', born_ms)


def decode_submitted_job(job, job_id='5c0e7a21d94b36f8', headers=None):
    """Decode a job as a caller submits it to the queue of the manifest."""
    manifest = decode_manifest(changed(MANIFEST))
    body = json.dumps(dict(job)).encode()
    request = HttpRequest('POST', f'/a/{job_id}', headers or {}, body)
    return ingress.decode_job(request, manifest.queues[0], job_id)


JOB = MappingProxyType(
    {
        'spec': 'text',
        'steps': [
            {'count': 2, 'cpu': 500, 'mem_mb': 64, 'est_runtime_ms': 90},
            {'count': 1, 'after': [0], 'constraints': 'a', 'affinity': 'r1-1'},
        ],
        'best_effort': True,
    }
)


def test_job_is_decoded():
    """Guards against steps that run with other requirements than submitted.

    The fields of a step have other names in the job request and are passed
    to it by position.
    """
    job = decode_submitted_job(JOB, headers={'deadline-ms': '2129'})
    assert isinstance(job, JobRequest)
    assert job.deadline_ms == 2129
    first, second = job.steps
    assert (first.count, first.demand) == (2, Demand(500, 64))
    assert (second.after, second.required_label) == ((0,), 'a')
    assert second.data_rack == 'r1-1'


def test_missing_deadline_is_that_of_the_queue():
    """Guards against a job that waits forever.

    A caller may leave out the deadline header; the timeout of the queue then
    applies.
    """
    assert decode_submitted_job(JOB).deadline_ms == 1500


@pytest.mark.parametrize(
    ('job', 'job_id', 'status'),
    [
        ({**JOB, 'steps': [{'count': 1, 'after': [0]}]}, '0' * 16, 400),
        ({'spec': 1, 'steps': []}, '0' * 16, 400),
        (JOB, 'short', 400),
        ({**JOB, 'best_effort': False}, '0' * 16, 503),
        ({**JOB, 'steps': [{'count': 1, 'gang': True}]}, '0' * 16, 503),
    ],
)
def test_bad_or_unsupported_job_is_refused_by_type(job, job_id, status):
    """Guards against a job that is accepted but can never run.

    A malformed job is answered with status 400, a job that needs an
    unsupported feature with status 503.
    """
    assert decode_submitted_job(job, job_id).status == status


def test_task_names_round_trip():
    """Guards against the end of a run that is recorded for another task.

    Endpoints return the task name that they got with the start, and the guard
    finds the task by parsing it.
    """
    task = TaskKey('5c0e7a21d94b36f8', 0, 1, 17)
    assert format_task(task) == '5c0e7a21d94b36f8.0.1.17'
    assert parse_task(format_task(task)) == task
    assert parse_task('a.b.c') is None
    assert parse_task('a.0.x.1') is None


@pytest.mark.parametrize(
    ('status', 'reason', 'expected'),
    [
        (200, '', StartReply.STARTED),
        (409, 'room', StartReply.NO_ROOM),
        (409, 'old', StartReply.OUTRUN),
        (409, 'late', StartReply.REFUSED),
        (409, 'fence', StartReply.REFUSED),
        (421, '', StartReply.REFUSED),
        (503, '', StartReply.REFUSED),
    ],
)
def test_answer_to_a_start_is_decoded(status, reason, expected):
    """Guards against a refused start that is taken for a run, or vice versa.

    A conflict has several reasons; those without a reply of their own count
    as refused.
    """
    body = json.dumps({'clock_ms': 5, 'reason': reason}).encode()
    assert (
        endpointclient.decode_start_reply(HttpReply(status, body)) is expected
    )


def test_lists_are_decoded():
    """Guards against an ended run that is recorded with the wrong outcome.

    An end that is neither done nor failed does not mean that the task failed,
    so the run counts as lost.
    """
    name = '5c0e7a21d94b36f8.0.0.1'
    ref = RunRef(TaskKey('5c0e7a21d94b36f8', 0, 0, 1), 2)
    body = json.dumps(
        {
            'clock_ms': 77,
            'born': 1,
            'running': [[name, 2, '', 41, 300]],
            'finished': [
                [5, name, 2, 'done', ''],
                [6, name, 2, 'failed', ''],
                [7, name, 2, 'lapsed', ''],
            ],
        }
    ).encode()
    lists = endpointclient.decode_endpoint_lists(HttpReply(200, body))
    assert lists.clock_ms == 77
    assert lists.born_ms == 1
    assert lists.running == (ListedRun(ref, 41),)
    assert lists.ended == (
        EndedRun(5, ref, RunOutcome.DONE, 'done'),
        EndedRun(6, ref, RunOutcome.FAILED, 'failed'),
        EndedRun(7, ref, RunOutcome.LOST, 'lapsed'),
    )
