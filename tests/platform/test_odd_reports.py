"""Reports that another writer has sent to a guard."""

from __future__ import annotations

import json
from types import MappingProxyType

import msgspec
import pytest
from hypothesis import given, settings, strategies

from borageward.http import HttpClient, HttpServer
from borageward.messages.runs import Demand
from borageward.runs import EndpointStatus
from borageward.telemetry import EventLog
from borageward.transport import Address
from borageward_platform.reports import ReportServer, decode_report

ANY_PORT = Address('127.0.0.1', 0)
REPORT = MappingProxyType(
    {
        'service': 's',
        'address': '10.0.0.1:8080',
        'zone': 'z',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'capacity': {'cpu': 16_000, 'mem_mb': 1024, 'gpu': 0},
        'labels': ['a', 'r1-3'],
        'clock_ms': 482_113,
        'seq': 4,
    }
)
DEPTH = 100_000
DEEP = ''.join(('[' * DEPTH, ']' * DEPTH))
MANY_DIGITS = '9' * 5000
LONG_NAME = 'x' * 300
BEYOND_64_BITS = '18446744073709551616'
ODD_NUMBERS = (
    BEYOND_64_BITS,
    f'-{BEYOND_64_BITS}',
    '-1',
    '1.5',
    '1.0',
    '1e400',
    'NaN',
    'Infinity',
    'true',
    'null',
    '"4"',
    MANY_DIGITS,
)
ODD_ADDRESSES = (
    '',
    '10.0.0.1',
    '10.0.0.1:',
    '10.0.0.1:0',
    '10.0.0.1:65536',
    '10.0.0.1:99999999999',
    f'10.0.0.1:{MANY_DIGITS}',
    ':80',
    'host:80',
    '0.0.0.0:80',
)
ODD_TEXTS = ('""', '5', 'null', '[]', r'"\ud800"', f'"{LONG_NAME}"')


def report(field='unknown', text='1', document=REPORT):
    """Return a report with the JSON text of one field replaced."""
    rest = json.dumps({**document, field: '@'})
    return rest.replace('"@"', text).encode()


def capacity_report(resource, text):
    """Return a report with one resource of the capacity replaced."""
    rest = json.dumps({**REPORT['capacity'], resource: '@'})
    return report('capacity', rest.replace('"@"', text))


class Runs:
    """Run service that records what is reported."""

    def __init__(self):
        self.reports = []

    def report(self, status):
        """Record a status."""
        self.reports.append(status)

    def report_leaving(self, endpoint_id):
        """Record the id of a leaving endpoint."""
        self.reports.append(endpoint_id)


@pytest.mark.parametrize('text', ODD_NUMBERS)
@pytest.mark.parametrize('field', ['seq', 'born', 'slots'])
def test_odd_number_is_refused(field, text):
    """Guards against a status with a number that no endpoint has."""
    assert isinstance(decode_report('i-1', report(field, text)), str)


@pytest.mark.parametrize('text', ODD_NUMBERS)
@pytest.mark.parametrize('resource', ['cpu', 'mem_mb', 'gpu'])
def test_odd_capacity_is_refused(resource, text):
    """Guards against a guard that ends when it sends a state to entries.

    Integers beyond 64 bits have no msgpack encoding.
    """
    assert isinstance(
        decode_report('i-1', capacity_report(resource, text)), str
    )


@pytest.mark.parametrize('address', ODD_ADDRESSES)
def test_address_that_cannot_be_called_is_refused(address):
    """Guards against a guard that ends, or that gives up its endpoint.

    The guard parses the address when it opens a client, after it has ended the
    runs of the former incarnation.
    """
    body = report('address', json.dumps(address))
    assert isinstance(decode_report('i-1', body), str)


@pytest.mark.parametrize('text', ODD_TEXTS)
@pytest.mark.parametrize('field', ['service', 'state', 'labels'])
def test_odd_text_is_refused(field, text):
    """Guards against an announcement that control or entries cannot handle."""
    if field == 'labels':
        text = '5' if text == '[]' else f'[{text}]'
    assert isinstance(decode_report('i-1', report(field, text)), str)


@pytest.mark.parametrize(
    'body',
    [
        report('unknown', DEEP),
        report('labels', DEEP),
        DEEP.encode(),
        b'',
        b'\xff',
        report('unknown', '"@"').replace(b'@', b'\xff'),
        report('labels', json.dumps([str(label) for label in range(1000)])),
        report('capacity', '{}'),
    ],
)
def test_unreadable_report_is_refused(body):
    """Guards against an exception that ends the guard.

    Deep nesting raises ``RecursionError``, which is no ``DecodeError``.
    """
    assert isinstance(decode_report('i-1', body), str)


@pytest.mark.parametrize(
    'endpoint_id', ['', 'a/b', 'a%2Fb', LONG_NAME, 'i\xe9']
)
def test_odd_id_is_refused(endpoint_id):
    """Guards against an id that cannot be sent to its endpoint in a header."""
    assert isinstance(decode_report(endpoint_id, report()), str)


def test_report_of_the_protocol_is_accepted():
    """Guards against checks that refuse the endpoint of this host."""
    status = decode_report('i-7f3a91c2', report())
    assert status.capacity == Demand(16_000, 1024)
    assert status.address == '10.0.0.1:8080'
    again = decode_report('i-7f3a91c2', report('seq', '4,"seq":9'))
    assert again.sequence == 9


@pytest.mark.parametrize(
    ('path', 'body'),
    [
        ('/v1/instances/odd', report('unknown', DEEP)),
        ('/v1/instances/odd', report('address', '"10.0.0.1:99999999999"')),
        ('/v1/instances/odd/x', report()),
        ('/v1/instances/odd%2Fx', report()),
        ('/v1/instances/', report()),
    ],
)
async def test_odd_report_leaves_the_guard_serving(nursery, path, body):
    """Guards against a guard that ends by a report of another writer."""
    runs = Runs()
    server = HttpServer(ANY_PORT, ReportServer(runs, EventLog()).answer)
    await server.start(nursery)
    client = HttpClient(server.address)
    odd = await client.call('PUT', path, body, 5000)
    assert 400 <= odd.status < 500
    good = await client.call('PUT', '/v1/instances/i-1', report(), 5000)
    assert good.status == 200
    assert [status.endpoint_id for status in runs.reports] == ['i-1']
    await client.close()
    await server.close()


JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text()
    | strategies.sampled_from(ODD_ADDRESSES),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(
            strategies.sampled_from(('cpu', 'mem_mb', 'gpu')), inner
        )
    ),
    max_leaves=10,
)
CHANGES = strategies.dictionaries(
    strategies.sampled_from((*REPORT, 'born', 'unknown')), JSON_VALUES
)


@settings(max_examples=500, derandomize=True, database=None)
@given(strategies.text(), strategies.binary() | CHANGES)
def test_any_report_is_a_valid_status_or_a_text(endpoint_id, changes):
    """Guards against an exception, and a status that cannot be sent on."""
    body = changes
    if isinstance(changes, dict):
        body = json.dumps({**REPORT, **changes}).encode()
    for name in (endpoint_id, 'i-1'):
        status = decode_report(name, body)
        if isinstance(status, EndpointStatus):
            msgspec.msgpack.encode(
                (status.pool, status.labels, status.capacity)
            )
            status.endpoint_id.encode('ascii')
        else:
            assert isinstance(status, str)
