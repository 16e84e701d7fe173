"""Duplicate and late messages, broken links, fences and takeovers."""

from __future__ import annotations

import attrs
import pytest
import trio

from borageward.failures import FailureReason
from borageward.guard import GuardService
from borageward.identity import new_job_id
from borageward.messages import guard as link
from borageward.messages.task import TaskPhase
from borageward.policy.fifo_scheduler import FifoSlotScheduler
from borageward.telemetry import EventLog
from tests.guard import harness

_JOB = new_job_id(1)
_OTHER = new_job_id(2)


@pytest.mark.parametrize('pause_s', [0, 0.05, 0.2, 40, 700])
@pytest.mark.parametrize('same_link', [True, False])
async def test_doubled_start_runs_once(autojump_clock, pause_s, same_link):
    """Guards against a second start by a duplicate start message.

    The message arrives again at once or late, on the same or another link, and
    followed by a later attempt.
    """
    settings = attrs.evolve(harness.SETTINGS, result_retention_ms=1000)
    async with harness.running_guard(settings) as bench:
        entry = await bench.entry(1)
        message = harness.start(_JOB, 1, range(10), run_ms=100)
        await entry.send(message)
        await trio.sleep(pause_s)
        if pause_s > 600:
            # The record of the job has expired. The guard no longer detects
            # the duplicate; control refuses a job that old.
            await entry.send(link.Settle(_JOB, 1, 1, (0,), 1))
            await trio.sleep(0.1)
            settled = entry.of_type(link.Settled)[0]
            assert harness.phases(settled)[0] is TaskPhase.NOT_RUN
            return
        second = entry if same_link else await bench.entry(1)
        await second.send(message)
        await second.send(harness.start(_JOB, 1, range(10), attempt=2))
        await trio.sleep(2)
        assert sorted(bench.starts_of(_JOB)) == list(range(10))
        assert not entry.refusals()
        assert not second.refusals()


@pytest.mark.parametrize('settles', [True, False])
async def test_withdrawn_attempt_never_starts(autojump_clock, settles):
    """Guards against the start of an attempt that was reported as not run.

    Queued tasks are withdrawn, and start messages of the same attempt arrive
    afterwards.
    """
    async with harness.running_guard() as bench:
        entry = await bench.entry(1)
        await entry.send(harness.start(_OTHER, 1, range(8), run_ms=500))
        await entry.send(harness.start(_JOB, 1, [0], attempt=1))
        request = link.Withdraw(_JOB, 1, (0, 1), 1)
        if settles:
            request = link.Settle(_JOB, 1, 1, (0, 1), 1, withdraw_queued=True)
        await entry.send(request)
        await entry.send(harness.start(_JOB, 1, [0, 1], attempt=1))
        await trio.sleep(0.1)
        settled = entry.of_type(link.Settled)[0]
        assert set(harness.phases(settled).values()) == {TaskPhase.NOT_RUN}
        assert len(entry.refusals()) == 2
        assert not bench.starts_of(_JOB)
        await entry.send(harness.start(_JOB, 1, [0, 1], attempt=2))
        # A duplicate request for attempt 1 must not cancel attempt 2.
        await entry.send(request)
        await trio.sleep(1)
        assert sorted(bench.starts_of(_JOB)) == [0, 1]


async def test_reconnected_entry_gets_results_again(autojump_clock):
    """Guards against results that are lost or sent to the wrong entry.

    The link breaks after some tasks finished and before others do, and both
    the same and another entry connect.
    """
    async with harness.running_guard() as bench:
        entry = await bench.entry(1, acknowledges=False)
        await entry.send(harness.start(_JOB, 1, range(3), run_ms=50))
        await entry.send(harness.start(_OTHER, 1, range(3), run_ms=500))
        await trio.sleep(0.2)
        await entry.drop()
        other_entry = await bench.entry(2)
        reconnected = await bench.entry(1)
        await trio.sleep(1)
        assert len(reconnected.outcomes()) == 6
        assert not other_entry.outcomes()
        third = await bench.entry(1)
        await trio.sleep(1)
        assert not third.outcomes()


async def test_takeover_settles_the_job_of_an_ended_entry(autojump_clock):
    """Guards against tasks lost, started twice or not reported in a takeover.

    An entry ends with tasks running and queued; its successor fences it and
    settles the job, and a late start message of the ended entry arrives.
    """
    async with harness.running_guard(slots=2) as bench:
        old = await bench.entry(1)
        await old.send(harness.start(_JOB, 1, range(4), run_ms=400))
        await old.send(harness.start(_OTHER, 1, [0], run_ms=400))
        await trio.sleep(0.1)
        await old.drop()
        new = await bench.entry(2)
        await new.send(link.Fence(2, 1))
        await trio.sleep(0.1)
        fenced = new.of_type(link.Fenced)[0]
        assert fenced.guard_incarnation == 101
        assert fenced.seen == (link.SeenJob(_JOB, (0, 1)),)
        await new.send(link.Settle(_JOB, 2, 1, (0, 1, 2, 3), 5))
        await trio.sleep(0.1)
        assert harness.phases(new.of_type(link.Settled)[0]) == {
            0: TaskPhase.RUNNING,
            1: TaskPhase.RUNNING,
            2: TaskPhase.NOT_RUN,
            3: TaskPhase.NOT_RUN,
        }
        late = await bench.entry(1)
        await late.send(harness.start(_JOB, 1, range(4), attempt=9))
        await new.send(harness.start(_JOB, 2, (2, 3)))
        await trio.sleep(2)
        assert set(new.outcomes()) == {(_JOB, index) for index in range(4)}
        assert set(late.refusals()) == {(_JOB, 2, 9), (_JOB, 3, 9)}
        assert sorted(bench.starts_of(_JOB)) == [0, 1, 2, 3]
        assert not bench.starts_of(_OTHER)
        harness.check_not_run(bench, harness.refusal_reports(late))


async def test_unfenced_owner_loses_its_job_by_settlement(autojump_clock):
    """Guards against starts and acknowledgements of a former owner.

    A new owner settles the jobs before the former one is fenced, and messages
    of the former owner arrive afterwards.
    """
    async with harness.running_guard(slots=1) as bench:
        old = await bench.entry(1, acknowledges=False)
        new = await bench.entry(2, acknowledges=False)
        await old.send(harness.start(_JOB, 1, [0, 1], attempt=5, run_ms=300))
        await trio.sleep(0.1)
        await new.send(link.Settle(_JOB, 2, 1, (0, 1, 2), 0))
        await new.send(link.Settle(_OTHER, 2, 1, (0,), 0))
        await new.send(link.Withdraw(_JOB, 2, (1,), 1))
        await trio.sleep(0.1)
        settled = new.of_type(link.Settled)
        assert harness.phases(settled[0])[1] is TaskPhase.QUEUED
        assert harness.phases(settled[2])[1] is TaskPhase.NOT_RUN
        await old.send(harness.start(_JOB, 1, [1, 2], attempt=6))
        await old.send(harness.start(_OTHER, 1, [0], attempt=6))
        await trio.sleep(1)
        assert len(old.refusals()) == 3
        assert bench.starts_of(_JOB) == [0]
        assert not bench.starts_of(_OTHER)
        await old.send(link.Acknowledge((link.AcknowledgedJob(_JOB, (0,)),)))
        reconnected = await bench.entry(2)
        await trio.sleep(0.1)
        assert set(reconnected.outcomes()) == {(_JOB, 0)}


async def test_second_takeover_sees_the_first_owner(autojump_clock):
    """Guards against a started task that a second takeover does not see.

    The second owner fences the first and ends before it settles the job, so
    the third must learn of tasks that the first one started.
    """
    async with harness.running_guard() as bench:
        first = await bench.entry(1)
        await first.send(harness.start(_JOB, 1, [0]))
        await trio.sleep(0.1)
        second = await bench.entry(2)
        await second.send(link.Fence(2, 1))
        await second.drop()
        third = await bench.entry(3)
        await third.send(link.Fence(3, 2))
        await trio.sleep(0.1)
        seen = third.of_type(link.Fenced)[0].seen
        assert seen == (link.SeenJob(_JOB, (0,)),)
        await third.send(link.Settle(_JOB, 3, 2, (0,), 1))
        await second.connect()
        await second.send(link.Settle(_JOB, 2, 1, (0,), 1))
        await trio.sleep(0.1)
        report = third.of_type(link.Settled)[0].reports[0]
        assert report.phase is TaskPhase.FINISHED
        assert report.outcome.result == b'null'
        assert not second.of_type(link.Settled)


async def test_results_are_dropped_by_time(autojump_clock):
    """Guards against unbounded storage and results that are dropped early.

    Acknowledged results go when space or their retention ends; results
    without acknowledgement stay for the whole claim retention.
    """
    settings = attrs.evolve(harness.SETTINGS, max_result_bytes=5000)
    async with harness.running_guard(settings) as bench:
        entry = await bench.entry(1)
        unacknowledging = await bench.entry(2, acknowledges=False)
        await entry.send(harness.start(_JOB, 1, range(2), echo='x' * 2000))
        await unacknowledging.send(harness.start(_OTHER, 2, [0]))
        await trio.sleep(20)
        reasons = await _result_reasons(entry, _JOB, 1, (0, 1))
        assert reasons.count(None) == 1
        await trio.sleep(15)
        lost = FailureReason.RESULT_LOST
        assert await _result_reasons(entry, _JOB, 1, (0, 1)) == [lost, lost]
        await trio.sleep(540)
        assert await _result_reasons(unacknowledging, _OTHER, 2, (0,)) == [None]
        await trio.sleep(60)
        assert await _result_reasons(unacknowledging, _OTHER, 2, (0,)) == [lost]


async def _result_reasons(entry, job_id, owner, indexes):
    await entry.send(link.Settle(job_id, owner, owner, indexes, 1))
    await trio.sleep(0.1)
    reports = entry.of_type(link.Settled)[-1].reports
    assert {report.phase for report in reports} == {TaskPhase.FINISHED}
    return [report.outcome.reason for report in reports]


async def test_restarted_guard_fences_before_its_first_start(autojump_clock):
    """Guards against the start of a task of an ended entry after a restart.

    The new guard process must refuse links until it has registered and learnt
    which entries have ended.
    """
    async with harness.running_guard() as bench:
        await bench.guard.close()
        bench.control.ended.append(1)
        restarted = GuardService(
            harness.SETTINGS,
            'nadi-depot',
            bench.clock,
            EventLog(),
            FifoSlotScheduler(8),
            network=bench.network,
        )
        await restarted.start(bench.nursery)
        early = await bench.entry(1)
        await early.send(harness.start(_JOB, 1, [0]))
        await trio.sleep(0.5)
        assert not early.of_type(link.Welcome)
        entry = await bench.entry(1)
        welcome = entry.of_type(link.Welcome)[0]
        assert welcome.guard_incarnation == 102
        await entry.send(harness.start(_JOB, 1, [0]))
        await trio.sleep(0.5)
        fenced = FailureReason.INCARNATION_FENCED
        assert entry.refusals() == {(_JOB, 0, 1): fenced}
        assert not bench.starts()
