"""Addresses that another process has written."""

from __future__ import annotations

import pytest
from hypothesis import given, settings, strategies

from borageward.failures import Failure
from borageward.transport import (
    Address,
    parse_address,
    parse_peer_address,
)

ODD_PORTS = (
    '',
    '-1',
    '+1',
    ' 1',
    '1_0',
    '65536',
    '99999999999',
    '9' * 5000,
    '8\N{ARABIC-INDIC DIGIT THREE}',
    '\N{SUPERSCRIPT TWO}',
    '1.0',
    '1\n',
)
ODD_HOSTS = ('', 'host', '1.2.3', '1.2.3.4.5', '[[::1', '::1]]', '[::1', 'x\0')


@pytest.mark.parametrize('port', ODD_PORTS)
def test_odd_port_is_refused(port):
    """Guards against a process that ends by the port of an odd address.

    More than 4300 digits let ``int`` raise ``ValueError``, and digits of other
    scripts are no port.
    """
    assert isinstance(parse_address(f'10.0.0.1:{port}'), Failure)


@pytest.mark.parametrize('host', ODD_HOSTS)
def test_odd_host_is_refused(host):
    """Guards against a call to a host other than the one named."""
    assert isinstance(parse_address(f'{host}:80'), Failure)


@pytest.mark.parametrize('text', ['[::1]:80', '::1:80'])
def test_ipv6_address_is_parsed(text):
    """Guards against an IPv6 address that is refused or keeps its brackets."""
    assert parse_address(text) == Address('::1', 80)


@pytest.mark.parametrize(
    'text', ['10.0.0.1:0', '0.0.0.0:80', '[::]:80', '', 'fe80::1%x..y:80']
)
def test_address_without_a_process_is_no_peer(text):
    """Guards against calls to an address at which no process can be."""
    assert isinstance(parse_peer_address(text), Failure)
    assert parse_peer_address('10.0.0.1:80') == Address('10.0.0.1', 80)


@settings(max_examples=500, derandomize=True, database=None)
@given(strategies.text() | strategies.from_regex(r'[\d.:\[\]%]+:\d*'))
def test_any_text_is_an_address_or_a_failure(text):
    """Guards against an exception for an address from another writer."""
    for parse in (parse_address, parse_peer_address):
        address = parse(text)
        if isinstance(address, Address):
            assert 0 <= address.port <= 65_535
        else:
            assert isinstance(address, Failure)
