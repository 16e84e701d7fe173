"""Tests that kill, freeze or stop processes while jobs run."""

from __future__ import annotations

import contextlib

import httpx
import pytest

from standins.caller import job_body
from standins.operator import ask_control, apply_change
from standins.processes import wait_until

from borageward.failures import Failure
from borageward.messages.configuration import SetLimit
from borageward.messages.control import (
    Applied,
    ControlStatus,
    ReadControl,
    RevisionConflict,
)

_WAIT_S = 30
_DEADLINE_MS = 20_000


def _job(count=6, run_ms=700.0):
    run_times = [run_ms for _ in range(count)]
    return job_body('dispatch', run_times, _DEADLINE_MS)


def _wait_for_starts(session, body, count=1):
    wait_until(
        lambda: session.start_count(body) >= count, _WAIT_S, 'task start'
    )


def test_entry_killed_during_job(session):
    """Guards against a second start when another entry takes over a job.

    The first entry is killed after a task has started, and the caller
    resubmits the job to the second entry.
    """
    body = _job()
    with contextlib.suppress(httpx.HTTPError):
        pending = session.submit_in_background(0, body)
        _wait_for_starts(session, body)
        session.deployment.entries[0].kill()
        pending.result()
    assert session.submit(1, body)['state'] == 'complete'
    session.assert_invariants()
    assert session.start_count(body) == len(body['tasks'])


def test_guard_killed_during_job(session):
    """Guards against a second start of tasks that may have run.

    A guard is killed and restarted while it runs tasks. The job must fail,
    also when it is resubmitted through the other entry.
    """
    body = _job(count=12)
    pending = session.submit_in_background(0, body)
    _wait_for_starts(session, body, count=12)
    session.deployment.guards[0].kill()
    session.deployment.guards[0].start()
    answer = pending.result()
    assert answer['state'] == 'failed'
    assert session.submit(1, body)['state'] == 'failed'
    session.assert_invariants()


def test_guard_frozen_and_thawed(session):
    """Guards against starts by a guard that resumes with an expired lease.

    A guard is frozen while it runs tasks, another job is submitted, and the
    guard resumes after that job is answered.
    """
    body = _job(count=12, run_ms=1500.0)
    pending = session.submit_in_background(0, body)
    _wait_for_starts(session, body)
    session.deployment.guards[1].freeze()
    later = _job(count=12, run_ms=100.0)
    answer = session.submit(1, later)
    session.deployment.guards[1].thaw()
    pending.result()
    assert answer['state'] in {'complete', 'failed', 'refused'}
    session.assert_invariants()


def test_control_leader_killed(session):
    """Guards against lost claims and an outage when the leader is killed.

    A job claimed before the kill must keep its answer without new starts, and
    a new job must complete under the next leader.
    """
    before = _job(count=3, run_ms=50.0)
    assert session.submit(0, before)['state'] == 'complete'
    leader = _leader(session)
    session.deployment.controls[leader].kill()
    after = _job(count=3, run_ms=50.0)
    wait_until(
        lambda: session.submit(1, after)['state'] == 'complete',
        _WAIT_S,
        'a claim after the leader was killed',
    )
    assert session.submit(1, before)['state'] == 'complete'
    session.assert_invariants()
    assert session.start_count(before) == 3
    assert session.start_count(after) == 3


def test_control_replica_restarts_after_changes(session):
    """Guards against a replica that comes back with an old configuration.

    A follower is down during 200 changes and has to catch up on them.
    """
    addresses = session.deployment.control_grpc_addresses
    follower = (_leader(session) + 1) % 3
    session.deployment.controls[follower].kill()
    for revision in range(1, 201):
        change = SetLimit('max_open_jobs', 1000 + revision)
        reply = apply_change(addresses, change, revision)
        assert reply == Applied(revision + 1)
    session.deployment.controls[follower].start()
    wait_until(
        lambda: _status(addresses[follower]).revision == 201,
        _WAIT_S,
        'catch-up of the restarted replica',
    )


@pytest.mark.parametrize('role', ['entries', 'guards'])
def test_graceful_stop_finishes_requests(session, role):
    """Guards against a shutdown that aborts accepted requests.

    An entry or a guard gets SIGTERM while the tasks of a job run; the job must
    complete and the process exit with status 0.
    """
    body = _job(count=9, run_ms=1000.0)
    pending = session.submit_in_background(0, body)
    _wait_for_starts(session, body, count=9)
    process = getattr(session.deployment, role)[0]
    process.terminate()
    assert pending.result()['state'] == 'complete'
    assert process.wait() == 0
    session.assert_invariants()


def test_operators_race_with_equal_revisions(session):
    """Guards against two accepted changes on the same base revision.

    The later change has to be rejected with the author of the earlier one.
    """
    addresses = session.deployment.control_grpc_addresses
    replies = [
        apply_change(addresses, SetLimit('max_open_jobs', amount), 1)
        for amount in (1000, 2000)
    ]
    assert replies[0] == Applied(2)
    assert isinstance(replies[1], RevisionConflict)
    assert replies[1].author == 'test-operator'


def _status(address):
    reply = ask_control([address], ReadControl())
    if isinstance(reply, Failure):
        return ControlStatus('', 0, '', 0, (), (), 0, 0)
    return reply


def _leader(session):
    addresses = session.deployment.control_grpc_addresses
    for index, address in enumerate(addresses):
        status = _status(address)
        if status.leader == status.voter_id:
            return index
    return 0
