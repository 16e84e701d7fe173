"""Requests to the platform stand-in over HTTP."""

from __future__ import annotations

import json

import trio
from trio.testing import memory_stream_pair

from borageward.http.connection import HttpConnection
from standins.platform import PlatformStandIn


async def test_platform_reports_with_lag_and_applies_requests(
    autojump_clock, nursery
):
    """Guards against a platform stand-in that misleads other tests.

    Usage must be reported with the configured lag, requests must change the
    task that they name, and a worker must refuse work after its lease.
    """
    platform = PlatformStandIn(['w1'], lease_ms=5000, report_lag_ms=2000)
    near, far = memory_stream_pair()
    nursery.start_soon(platform.serve, far)
    connection = HttpConnection(near, 'platform')

    async def send_request(method, target, **body):
        text = json.dumps(body).encode()
        reply = await connection.exchange(method, target, text)
        return reply.status, json.loads(reply.body)

    _, before = await send_request('GET', '/workers')
    assert before[0]['cores_used'] == 0
    await send_request('POST', '/tasks', worker='w1', task='t', cores=4)
    await send_request('POST', '/throttle', worker='w1', task='t', share=0.5)
    done = await send_request('POST', '/checkpoint', worker='w1', task='t')
    assert done == (200, {'checkpoints': 1, 'share': 0.5})
    _, lagged = await send_request('GET', '/workers')
    assert lagged[0]['cores_used'] == 0
    await trio.sleep(2.5)
    _, current = await send_request('GET', '/workers')
    assert current[0]['cores_used'] == 2
    await send_request('POST', '/stop', worker='w1', task='t')
    second_stop = await send_request('POST', '/stop', worker='w1', task='t')
    assert second_stop[0] == 404
    await trio.sleep(5)
    assert (await send_request('GET', '/workers'))[1] == []
    late = await send_request('POST', '/tasks', worker='w1', task='t', cores=1)
    assert late[0] == 409
