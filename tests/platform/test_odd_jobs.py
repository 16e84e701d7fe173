"""Jobs that another writer has submitted to an entry."""

from __future__ import annotations

import json
from types import MappingProxyType

import msgspec
import pytest
import trio
from hypothesis import given, settings, strategies

from borageward.dispatch import JobRequest
from borageward.http import HttpRequest
from borageward.queues import Queue
from borageward_platform.ingress import decode_job

JOB_ID = '5c0e7a21d94b36f8'
QUEUE = Queue('q', 'h', '/a/', 'pool', 0, 3, 1.6, 60, 1500)
STEP = MappingProxyType(
    {'count': 2, 'cpu': 500, 'mem_mb': 64, 'est_runtime_ms': 90}
)
DEPTH = 100_000
DEEP = ''.join(('[' * DEPTH, ']' * DEPTH))
MANY_DIGITS = '9' * 5000
ODD_NUMBERS = (
    '-1',
    '18446744073709551616',
    '1e400',
    '1e300',
    MANY_DIGITS,
    'NaN',
    'true',
    '"1"',
)


def job(field='unknown', text='1'):
    """Return a job with the JSON text of one field of its step replaced."""
    step = json.dumps({**STEP, field: '@'}).replace('"@"', text)
    return f'{{"spec":"x","steps":[{step}],"best_effort":true}}'.encode()


def decode(body, deadline=''):
    """Decode the body of a submission."""
    headers = {'deadline-ms': deadline}
    request = HttpRequest('POST', f'/a/{JOB_ID}', headers, body)
    return decode_job(request, QUEUE, JOB_ID)


@pytest.mark.parametrize('text', ODD_NUMBERS)
@pytest.mark.parametrize(
    'field',
    ['count', 'cpu', 'mem_mb', 'gpu', 'est_runtime_ms', 'anti_affinity'],
)
def test_odd_number_is_refused(field, text):
    """Guards against an entry that ends when it orders the runs of a job.

    Integers beyond 64 bits have no msgpack encoding, and infinite times cannot
    be rounded.
    """
    assert decode(job(field, text)).status == 400


@pytest.mark.parametrize(
    'body',
    [
        job('unknown', DEEP),
        job('after', DEEP),
        DEEP.encode(),
        b'',
        b'\xff',
        job('count', '1000000'),
    ],
)
def test_odd_body_is_refused(body):
    """Guards against an entry that ends by one job.

    Deep nesting raises ``RecursionError``; a million tasks take its memory.
    """
    assert decode(body).status == 400


@pytest.mark.parametrize(
    'deadline', ['nan', 'inf', '-inf', '-1', '1e400', MANY_DIGITS, 'soon']
)
def test_odd_deadline_is_refused(deadline):
    """Guards against an entry that ends by one header of a caller.

    ``trio.move_on_after`` raises ``ValueError`` for NaN and negative times.
    """
    assert decode(job(), deadline).status == 400


JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    strategies.lists,
    max_leaves=10,
)
CHANGES = strategies.dictionaries(
    strategies.sampled_from((*STEP, 'gpu', 'after', 'unknown')), JSON_VALUES
)


@settings(max_examples=500, derandomize=True, database=None)
@given(
    strategies.binary() | CHANGES,
    strategies.text() | strategies.floats().map(str),
)
def test_any_job_is_valid_or_refused(changes, deadline):
    """Guards against an exception for a job of another writer."""
    body = changes
    if isinstance(changes, dict):
        document = {
            'spec': 'x',
            'steps': [{**STEP, **changes}],
            'best_effort': True,
        }
        body = json.dumps(document).encode()
    request = decode(body, deadline)
    if isinstance(request, JobRequest):
        trio.move_on_after(request.deadline_ms / 1000)
        for step in request.steps:
            msgspec.msgpack.encode(step.demand)
    else:
        assert 400 <= request.status < 600
