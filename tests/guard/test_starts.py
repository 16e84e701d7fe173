"""Starts through the gate: once each, refused by type, within slots."""

from __future__ import annotations

import attrs
import pytest
import trio

from borageward.failures import FailureReason, RunState
from borageward.identity import new_job_id
from borageward.messages import guard as link
from borageward.messages.control import EndIncarnation, Heartbeat
from borageward.messages.task import TaskPhase
from tests.guard import harness

_JOB = new_job_id(1)
_OTHER = new_job_id(2)


async def test_results_reach_the_entry(autojump_clock):
    """Guards against a lost result and a start beyond the slots."""
    async with harness.running_guard() as bench:
        entry = await bench.entry(1)
        await entry.send(harness.start(_JOB, 1, range(20), echo='salt'))
        await trio.sleep(1)
        assert len(entry.outcomes()) == 20
        assert entry.outcomes()[(_JOB, 3)].result == b'"salt"'
        assert sorted(bench.starts_of(_JOB)) == list(range(20))
        assert bench.runner.peak == 8
        # Tasks that finish together share messages.
        assert len(entry.of_type(link.TasksFinished)) < 20


@pytest.mark.parametrize(
    ('run', 'reason', 'state'),
    [
        ({'fail': True}, FailureReason.TASK_FAILED, RunState.RAN),
        ({'status': 500}, FailureReason.RUNNER_FAILED, RunState.MAY_HAVE_RUN),
        ({'status': 404}, FailureReason.RUNNER_FAILED, RunState.MAY_HAVE_RUN),
        ({'hang': True}, FailureReason.RUNNER_FAILED, RunState.MAY_HAVE_RUN),
        (
            {'echo': 'x' * 1_100_000},
            FailureReason.RUNNER_FAILED,
            RunState.MAY_HAVE_RUN,
        ),
    ],
)
async def test_failed_run_is_typed(autojump_clock, run, reason, state):
    """Guards against a failure after the start that claims "not run"."""
    async with harness.running_guard() as bench:
        entry = await bench.entry(1)
        message = harness.start(_JOB, 1, [0], remaining_ms=500, **run)
        await entry.send(message)
        await trio.sleep(5)
        outcome = entry.outcomes()[(_JOB, 0)]
        assert (outcome.reason, outcome.run_state) == (reason, state)
        assert not entry.refusals()


async def test_hung_task_keeps_its_slot(autojump_clock):
    """Guards against a slot given away while the runner is at work."""
    async with harness.running_guard(slots=2) as bench:
        entry = await bench.entry(1)
        hung = harness.start(_JOB, 1, [0], remaining_ms=500, hang=True)
        await entry.send(hung)
        await trio.sleep(5)
        assert (_JOB, 0) in entry.outcomes()
        await entry.send(harness.start(_OTHER, 1, range(4), run_ms=100))
        await trio.sleep(2)
        assert len(bench.starts_of(_OTHER)) == 4
        assert bench.runner.peak == 2


def _leave(bench):
    bench.nursery.start_soon(bench.guard.close)


def _lose_lease(bench):
    bench.control.cut = True
    bench.clock.offset_ms += 6000


def _fence(bench):
    bench.control.ended.append(1)


def _lose_runner(bench):
    bench.runner.hang = True


@pytest.mark.parametrize(
    ('fault', 'reason'),
    [
        (_leave, FailureReason.LEAVING),
        (_lose_lease, FailureReason.CONFIGURATION_STALE),
        (_fence, FailureReason.INCARNATION_FENCED),
        (_lose_runner, FailureReason.RUNNER_UNREACHABLE),
    ],
)
async def test_refusal_has_its_type_and_is_true(autojump_clock, fault, reason):
    """Guards against a refused task that starts, or a wrong reason."""
    async with harness.running_guard() as bench:
        entry = await bench.entry(1)
        await entry.send(harness.start(_OTHER, 1, [0], run_ms=12_000))
        await trio.sleep(0.05)
        fault(bench)
        await trio.sleep(8)
        message = harness.start(_JOB, 1, [0, 1])
        await entry.send(message)
        await trio.sleep(0.1)
        assert entry.refusals() == {
            (_JOB, 0, 1): reason,
            (_JOB, 1, 1): reason,
        }
        assert not bench.starts_of(_JOB)


async def test_full_queue_and_past_deadline_are_refused(autojump_clock):
    """Guards against unbounded queueing and against late starts."""
    async with harness.running_guard() as bench:
        entry = await bench.entry(1)
        await entry.send(harness.start(_JOB, 1, range(8), run_ms=1000))
        await entry.send(
            harness.start(_OTHER, 1, range(65), remaining_ms=500),
        )
        await trio.sleep(2)
        refusals = entry.refusals()
        assert refusals.pop((_OTHER, 64, 1)) is FailureReason.QUEUE_FULL
        assert set(refusals.values()) == {FailureReason.DEADLINE_EXCEEDED}
        assert len(refusals) == 64
        assert not bench.starts_of(_OTHER)
        harness.check_not_run(bench, harness.refusal_claims(entry))


async def test_results_full_refuses_and_drops_nothing(autojump_clock):
    """Guards against an unacknowledged result dropped for space."""
    settings = attrs.evolve(harness.SETTINGS, max_result_bytes=4096)
    async with harness.running_guard(settings) as bench:
        entry = await bench.entry(1, acknowledges=False)
        await entry.send(harness.start(_JOB, 1, range(4), echo='x' * 2000))
        await trio.sleep(1)
        await entry.send(harness.start(_OTHER, 1, [0]))
        await trio.sleep(1)
        assert entry.refusals() == {
            (_OTHER, 0, 1): FailureReason.RESULTS_FULL,
        }
        again = await bench.entry(1)
        await trio.sleep(1)
        assert len(again.outcomes()) == 4
        await again.send(harness.start(_OTHER, 1, [0], attempt=2))
        await trio.sleep(1)
        assert bench.starts_of(_OTHER) == [0]


async def test_unreachable_runner_leaves_and_returns(autojump_clock):
    """Guards against work sent to a dead runner and a guard that stays out."""
    async with harness.running_guard() as bench:
        entry = await bench.entry(1)
        bench.network.runner_down = True
        await entry.send(harness.start(_JOB, 1, range(9)))
        await trio.sleep(0.5)
        # One idle connection is left from the status.
        assert len(bench.starts_of(_JOB)) == 1
        unreachable = FailureReason.RUNNER_UNREACHABLE
        assert set(entry.refusals().values()) == {unreachable}
        harness.check_not_run(bench, harness.refusal_claims(entry))
        bench.runner.hang = True
        await trio.sleep(10)
        assert entry.of_type(link.Announcement)[-1].load.leaving
        assert bench.control.requests[-1].leaving
        bench.network.runner_down = False
        bench.runner.hang = False
        await trio.sleep(3)
        second = await bench.entry(1)
        welcome = second.of_type(link.Welcome)[0]
        assert welcome.guard_incarnation == bench.control.incarnation == 102
        await second.send(harness.start(_OTHER, 1, [0]))
        await trio.sleep(1)
        assert bench.starts_of(_OTHER) == [0]


async def test_thawed_guard_starts_nothing_on_an_old_policy(autojump_clock):
    """Guards against a queued task that starts after the lease ran out."""
    async with harness.running_guard() as bench:
        entry = await bench.entry(1)
        await entry.send(harness.start(_JOB, 1, range(8), run_ms=300))
        await entry.send(harness.start(_OTHER, 1, [0], remaining_ms=20_000))
        await entry.send(harness.start(_OTHER, 1, [1], remaining_ms=7_000))
        await trio.sleep(0.1)
        bench.control.cut = True
        bench.clock.offset_ms += 6000
        await trio.sleep(3)
        assert len(entry.outcomes()) == 8
        assert not bench.starts_of(_OTHER)
        late = FailureReason.DEADLINE_EXCEEDED
        assert entry.refusals() == {(_OTHER, 1, 1): late}
        bench.control.cut = False
        await trio.sleep(3)
        assert bench.starts_of(_OTHER) == [0]
        harness.check_not_run(bench, harness.refusal_claims(entry))


@pytest.mark.parametrize('taken_back', [True, False])
async def test_start_is_checked_after_connecting(autojump_clock, taken_back):
    """Guards against a start on a permission from before a wait."""
    async with harness.running_guard() as bench:
        entry = await bench.entry(1)
        bench.network.connect_s = 0.5
        await entry.send(harness.start(_JOB, 1, range(8)))
        await trio.sleep(0.1)
        # One start used the idle connection that the status left.
        assert len(bench.starts_of(_JOB)) == 1
        if taken_back:
            await entry.send(link.Withdraw(_JOB, 1, tuple(range(8)), 1))
        else:
            bench.control.cut = True
            bench.clock.offset_ms += 6000
        await trio.sleep(2)
        assert len(bench.starts_of(_JOB)) == 1


async def test_leaving_guard_finishes_accepted_work(autojump_clock):
    """Guards against a shutdown that interrupts or loses a request."""
    async with harness.running_guard() as bench:
        entry = await bench.entry(1)
        await entry.send(harness.start(_JOB, 1, range(24), run_ms=400))
        await trio.sleep(0.1)
        await bench.guard.close()
        assert len(entry.outcomes()) == 24
        assert sorted(bench.starts_of(_JOB)) == list(range(24))
        assert entry.of_type(link.Announcement)[0].load.leaving
        kinds = [type(request) for request in bench.control.requests[-2:]]
        assert kinds == [Heartbeat, EndIncarnation]
        leaving = [
            request.leaving
            for request in bench.control.requests
            if isinstance(request, Heartbeat)
        ]
        assert leaving[-1]


async def test_ended_guard_gets_a_new_incarnation(autojump_clock):
    """Guards against a start of a task that its entry counts as lost."""
    async with harness.running_guard() as bench:
        entry = await bench.entry(1)
        await entry.send(harness.start(_JOB, 1, range(9), run_ms=3000))
        await trio.sleep(0.1)
        bench.control.live.clear()
        await trio.sleep(2)
        second = await bench.entry(1)
        welcome = second.of_type(link.Welcome)[0]
        assert welcome.guard_incarnation == 102
        indexes = tuple(range(9))
        await second.send(link.Settle(_JOB, 1, 1, indexes, 1))
        await trio.sleep(3)
        settled = second.of_type(link.Settled)[0]
        assert settled.guard_incarnation == 102
        assert harness.phases(settled)[8] is TaskPhase.NOT_RUN
        assert len(second.outcomes()) == 8
        assert sorted(bench.starts_of(_JOB)) == list(range(8))
