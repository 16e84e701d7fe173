"""Manifests that another writer has sent to a control replica."""

from __future__ import annotations

import json
from types import MappingProxyType

import msgspec
import pytest
from hypothesis import given, settings, strategies

from borageward.queues import QueueManifest
from borageward_platform.manifests import decode_manifest

ROUTE = MappingProxyType(
    {
        'name': 'r-1',
        'host': 'nony.example',
        'path_prefix': '/a/',
        'timeout_ms': 1500,
        'target_latency_ms': 60,
        'priority': 1,
        'service': 's',
        'max_attempts': 3,
        'stretch': 1.6,
    }
)
DEPTH = 100_000
DEEP = ''.join(('[' * DEPTH, ']' * DEPTH))
MANY_DIGITS = '9' * 5000
BEYOND_64_BITS = '18446744073709551616'
ODD_NUMBERS = (
    BEYOND_64_BITS,
    '1e400',
    '1e300',
    MANY_DIGITS,
    'NaN',
    'true',
    '"1"',
    'null',
)


def manifest(route=ROUTE, **fields):
    """Return the JSON of a manifest with one route and changed fields."""
    document = {
        'version': 7,
        'routes': [dict(route)],
        'services': [{'name': 's'}],
        **fields,
    }
    return json.dumps(document)


def with_text(document, text):
    """Return the body of a manifest with the value ``@`` replaced."""
    return document.replace('"@"', text).encode()


@pytest.mark.parametrize('text', ODD_NUMBERS)
@pytest.mark.parametrize(
    'field',
    ['timeout_ms', 'target_latency_ms', 'priority', 'max_attempts', 'stretch'],
)
def test_odd_number_of_a_route_is_refused(field, text):
    """Guards against a manifest that ends control or entries.

    Integers beyond 64 bits have no msgpack encoding, and infinite times cannot
    be rounded.
    """
    body = with_text(manifest({**ROUTE, field: '@'}), text)
    assert isinstance(decode_manifest(body), str)


@pytest.mark.parametrize('text', [*ODD_NUMBERS, '-1', '1.5'])
def test_odd_version_is_refused(text):
    """Guards against a version that no replica can store."""
    body = with_text(manifest(version='@'), text)
    assert isinstance(decode_manifest(body), str)


@pytest.mark.parametrize('text', [*ODD_NUMBERS, '-1'])
@pytest.mark.parametrize('field', ['max_body_bytes', 'idle_timeout_ms'])
def test_odd_limit_is_refused(field, text):
    """Guards against a limit that no replica can store."""
    body = with_text(manifest(limits={field: '@'}), text)
    assert isinstance(decode_manifest(body), str)


@pytest.mark.parametrize(
    'body',
    [
        with_text(manifest(unknown='@'), DEEP),
        with_text(manifest(unknown='@'), '"@"').replace(b'@', b'\xff'),
        DEEP.encode(),
        b'',
    ],
)
def test_unreadable_manifest_is_refused(body):
    """Guards against a manifest that cannot be read back in full.

    Deep nesting raises ``RecursionError``, which is no ``DecodeError``.
    """
    assert isinstance(decode_manifest(body), str)


JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    strategies.lists,
    max_leaves=10,
)
FIELDS = strategies.dictionaries(
    strategies.sampled_from(('version', 'limits', 'unknown')), JSON_VALUES
)
ROUTE_FIELDS = strategies.dictionaries(
    strategies.sampled_from(tuple(ROUTE)), JSON_VALUES
)


@settings(max_examples=500, derandomize=True, database=None)
@given(strategies.binary(), ROUTE_FIELDS, FIELDS)
def test_any_manifest_can_be_stored_or_is_refused(body, route, fields):
    """Guards against an exception, and a manifest that cannot be stored."""
    changed = manifest({**ROUTE, **route}, **fields).encode()
    for document in (body, changed):
        decoded = decode_manifest(document)
        if isinstance(decoded, QueueManifest):
            msgspec.msgpack.encode(decoded)
        else:
            assert isinstance(decoded, str)
