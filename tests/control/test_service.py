"""Tests of a control service through its clients."""

from __future__ import annotations

import pytest

from borageward.clock import SystemClock
from borageward.control.service import ControlService
from borageward.controlclient import open_frame_client, open_grpc_client
from borageward.identity import body_digest, new_job_id
from borageward.messages import control as messages
from borageward.messages.configuration import SetLimit
from borageward.settings import ControlSettings
from borageward.telemetry import EventLog

_TIMEOUT_MS = 10_000


@pytest.fixture
async def service(nursery, tmp_path):
    """Run a single replica on ports chosen by the operating system."""
    settings = ControlSettings(
        'a', str(tmp_path), '127.0.0.1:0', '127.0.0.1:0', ()
    )
    running = ControlService(settings, SystemClock(), EventLog())
    await running.start(nursery)
    yield running
    await running.close()


async def test_requests_over_both_transports(service, nursery):
    """Guards against a transport or a reply that clients cannot use.

    In this test the entry's requests go over gRPC and the guard's over frames,
    and each client sees the effect of the other's requests.
    """
    clock = SystemClock()
    entry = open_grpc_client([service.address], clock)
    guard = open_frame_client([service.member_address], clock, nursery)
    registered_entry = await entry.call(
        messages.RegisterEntry(b'n1', 'e1', 'nadi', '10.0.0.1:1', ''),
        _TIMEOUT_MS,
    )
    registered_guard = await guard.call(
        messages.RegisterGuard(b'n2', 'w1', 'nadi', 's', 'e', 'l', 8),
        _TIMEOUT_MS,
    )
    request = messages.ClaimRequest(
        new_job_id(clock.wall_ms()), body_digest(b''), 2
    )
    claim = messages.Claim(registered_entry.incarnation, (request,))
    claimed = await entry.call(claim, _TIMEOUT_MS)
    assert claimed.answers[0].state is messages.ClaimState.CLAIMED
    assert await entry.call(claim, _TIMEOUT_MS) == claimed
    change = messages.ApplyChange(
        b'c1', 0, SetLimit('max_open_jobs', 7), 'ana', 'test'
    )
    assert await entry.call(change, _TIMEOUT_MS) == messages.Applied(1)
    heartbeat = messages.Heartbeat(
        registered_guard.incarnation, 0, registered_guard.ended_through
    )
    reply = await guard.call(heartbeat, _TIMEOUT_MS)
    assert (reply.revision, reply.live_entries) == (1, 1)
    assert b'"max_open_jobs":7' in reply.configuration
    pending = await entry.call(messages.ReadInForce(1), _TIMEOUT_MS)
    assert len(pending.pending) == 2
    guards = await entry.call(messages.GuardsSince(0), _TIMEOUT_MS)
    assert [item.worker for item in guards.guards] == ['w1']
    await guard.close()
    await entry.close()
