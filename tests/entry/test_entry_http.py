"""HTTP interface of an entry: bodies, limits and the server on a socket."""

from __future__ import annotations

import httpx
import msgspec
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from borageward.clock import SystemClock
from borageward.entry import EntryAccess, EntryService
from borageward.entry.request import MAX_DEPTH, JobRequest, decode_request
from borageward.failures import Failure
from borageward.messages.control import ControlRequest
from borageward.policy.baseline_dispatch import BaselineDispatchPolicy
from borageward.settings import ControlAddress, EntrySettings
from borageward.telemetry import EventLog, Metrics
from borageward.transport import Address, FrameRpcServer
from tests.entry.cluster import JobText, running_cluster
from tests.entry.fake_control import ControlState, FakeControl

_VALID = msgspec.json.decode(JobText(2).body)
_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
_FIELDS = st.sampled_from([*_VALID, 'other'])


def _mutations():
    changed = st.builds(
        lambda name, field: msgspec.json.encode({**_VALID, name: field}),
        _FIELDS,
        _JSON,
    )
    task = st.builds(
        lambda fields: msgspec.json.encode({**_VALID, 'tasks': [fields]}),
        st.dictionaries(
            st.sampled_from(['kind', 'payload', 'idempotent', 'x']),
            _JSON,
        ),
    )
    return st.binary() | _JSON.map(msgspec.json.encode) | changed | task


# The decoder gets arbitrary bytes, arbitrary JSON, and a valid job with one
# field or its tasks replaced. An exception instead of a failure would be
# answered as an internal error.
@given(_mutations())
@settings(derandomize=True, max_examples=400, deadline=None)
def test_any_body_is_decoded_or_refused(body):
    """Guards against a body that raises instead of being refused."""
    assert isinstance(decode_request(body, 600_000), JobRequest | Failure)


def _deep(levels):
    return JobText(1).body.replace(b'{}', b'[' * levels + b']' * levels)


_BODIES = {  # noqa: WPS407 read only
    'empty': (b'', 400),
    'not_json': (b'{"id":', 400),
    'not_utf8': (JobText(1).body.replace(b'check', b'\xff'), 400),
    'unknown_field': (JobText(1).body.replace(b'"priority"', b'"x"'), 400),
    'no_tasks': (JobText(0).body, 400),
    'too_many_tasks': (JobText(151).body, 400),
    'too_deep': (_deep(MAX_DEPTH + 1), 400),
    'far_too_deep': (b'[' * 100_000, 400),
    'deadline': (JobText(1, deadline_ms=600_001).body, 400),
    'too_large': (b' ' * 1_048_577, 413),
    'unknown_service': (JobText(1).body.replace(b'dispatch', b'd'), 422),
    'id_is_no_uuid7': (JobText(1).body.replace(b'"id":"', b'"id":"x'), 400),
}


@pytest.mark.parametrize('name', _BODIES)
async def test_bad_bodies_are_typed(autojump_clock, name):
    """Guards against a refused body without a reason or with a wrong status.

    Callers decide from the reason, the run state and the status whether to
    submit the job again.
    """
    body, status = _BODIES[name]
    async with running_cluster() as cluster:
        answer = await cluster.request(0, 'POST', '/v1/jobs', body)
    assert answer.status == status
    assert answer.document['state'] == 'refused'
    assert answer.document['run_state'] == 'not_run'
    assert answer.document['reason']


async def test_service_on_sockets(nursery):
    """Guards against faults that appear only with real sockets.

    The other tests call the application in memory. Here an entry registers
    with control over frames and serves HTTP on a TCP port.
    """
    state = ControlState()
    control = FrameRpcServer(
        Address('127.0.0.1', 0),
        lambda request: FakeControl(state).call(request, 1000),
        ControlRequest,
    )
    await control.start(nursery)
    service = EntryService(
        EntrySettings(
            'e0',
            '127.0.0.1:0',
            '127.0.0.1:0',
            (ControlAddress('127.0.0.1:1', str(control.address)),),
        ),
        'nadi-depot',
        SystemClock(),
        EventLog(),
        Metrics(None, ''),
        BaselineDispatchPolicy(),
        EntryAccess(),
    )
    await service.start(nursery)
    async with httpx.AsyncClient() as client:
        base = f'http://{service.http_address}'
        while (await client.get(f'{base}/readyz')).status_code != 200:
            await trio.sleep(0.01)
        found = await client.get(f'{base}/openapi.json')
        missing = await client.get(f'{base}/v1/jobs/x')
        body = JobText(1, deadline_ms=50).body
        late = await client.post(f'{base}/v1/jobs', content=body)
    assert found.json()['openapi'] == '3.1.0'
    assert missing.status_code == 400
    assert late.json()['run_state'] == 'not_run'
    await service.close()
    await control.close()
