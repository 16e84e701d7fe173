"""Replies of an endpoint that no endpoint should send."""

from __future__ import annotations

import pytest

from borageward.failures import FailureReason
from borageward.http import HttpReply
from borageward_platform.endpointclient import (
    decode_endpoint_lists,
    decode_start_reply,
)

NESTED = b'{"x":%b%b}' % (b'[' * 100_000, b']' * 100_000)
HUGE = b'9' * 400


@pytest.mark.parametrize(
    'body',
    [
        NESTED,
        b'{"running":[[7,1,"",0]]}',
        b'{"running":[[null,1,"",0]]}',
        b'{"running":[["0123456789abcdef.0.0.0",1,"",%b]]}' % HUGE,
        b'{"finished":[["x"]]}',
    ],
)
def test_odd_lists_do_not_end_the_guard(body):
    """Guards against a guard that ends because of one malformed reply."""
    failure = decode_endpoint_lists(HttpReply(200, body))
    assert failure.reason is FailureReason.MALFORMED_MESSAGE


def test_deeply_nested_refusal_does_not_end_the_guard():
    """Guards against a guard that ends because of the reply to a start."""
    failure = decode_start_reply(HttpReply(409, NESTED))
    assert failure.reason is FailureReason.MALFORMED_MESSAGE
