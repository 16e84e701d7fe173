"""Admission and start of tasks: at most once, within the slots."""

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
    """Guards against lost results and more running tasks than slots.

    The job has more tasks than the runner has slots.
    """
    async with harness.running_guard() as bench:
        entry = await bench.entry(1)
        await entry.send(harness.start(_JOB, 1, range(20), echo='salt'))
        await trio.sleep(1)
        assert len(entry.outcomes()) == 20
        assert entry.outcomes()[(_JOB, 3)].result == b'"salt"'
        assert sorted(bench.starts_of(_JOB)) == list(range(20))
        assert bench.runner.peak == 8
        # Results of tasks that finish together share a message.
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
async def test_failed_run_has_reason_and_run_state(
    autojump_clock, run, reason, state
):
    """Guards against a started task that is reported as not run.

    The runner fails after the start: by an error status, a missing reply or
    an oversized reply.
    """
    async with harness.running_guard() as bench:
        entry = await bench.entry(1)
        message = harness.start(_JOB, 1, [0], remaining_ms=500, **run)
        await entry.send(message)
        await trio.sleep(5)
        outcome = entry.outcomes()[(_JOB, 0)]
        assert (outcome.reason, outcome.run_state) == (reason, state)
        assert not entry.refusals()


async def test_hung_task_keeps_its_slot(autojump_clock):
    """Guards against more running tasks than slots after a timeout.

    The guard reports a hung task as failed, but the runner still executes it,
    so its slot must not be assigned to another task.
    """
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
async def test_refused_task_has_its_reason_and_never_starts(
    autojump_clock, fault, reason
):
    """Guards against a refused task that starts, and a wrong reason.

    Each fault makes the guard refuse new tasks: its shutdown, an expired
    lease, the fence of the sender or a runner that does not answer.
    """
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
    """Guards against an unbounded queue and starts after the deadline.

    Tasks of one job occupy all slots until the deadline of the other job,
    which has one task more than the queue holds.
    """
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
        harness.check_not_run(bench, harness.refusal_reports(entry))


async def test_full_result_store_refuses_tasks_and_drops_no_result(
    autojump_clock,
):
    """Guards against an unacknowledged result dropped for lack of space.

    The entry acknowledges no result until the store is full; the guard must
    refuse new tasks meanwhile.
    """
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
        reconnected = await bench.entry(1)
        await trio.sleep(1)
        assert len(reconnected.outcomes()) == 4
        await reconnected.send(harness.start(_OTHER, 1, [0], attempt=2))
        await trio.sleep(1)
        assert bench.starts_of(_OTHER) == [0]


async def test_guard_of_unreachable_runner_leaves_and_returns(autojump_clock):
    """Guards against tasks for an unreachable runner and none after recovery.

    The runner becomes unreachable and later answers again; the guard must
    announce that it leaves, and then register with a new incarnation.
    """
    async with harness.running_guard() as bench:
        entry = await bench.entry(1)
        bench.network.runner_down = True
        await entry.send(harness.start(_JOB, 1, range(9)))
        await trio.sleep(0.5)
        # One idle connection is left from the status request.
        assert len(bench.starts_of(_JOB)) == 1
        unreachable = FailureReason.RUNNER_UNREACHABLE
        assert set(entry.refusals().values()) == {unreachable}
        harness.check_not_run(bench, harness.refusal_reports(entry))
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


async def test_guard_starts_no_task_after_its_lease_expired(autojump_clock):
    """Guards against the start of a queued task after the lease expired.

    The clock jumps past the lease while control is unreachable, as after a
    freeze of the process; the policy may have changed meanwhile.
    """
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
        harness.check_not_run(bench, harness.refusal_reports(entry))


@pytest.mark.parametrize('withdrawn', [True, False])
async def test_start_is_checked_after_connecting(autojump_clock, withdrawn):
    """Guards against a start on conditions that no longer hold.

    Connecting to the runner takes a while, in which the tasks are withdrawn
    or the lease expires.
    """
    async with harness.running_guard() as bench:
        entry = await bench.entry(1)
        bench.network.connect_s = 0.5
        await entry.send(harness.start(_JOB, 1, range(8)))
        await trio.sleep(0.1)
        # One task used the idle connection left from the status request.
        assert len(bench.starts_of(_JOB)) == 1
        if withdrawn:
            await entry.send(link.Withdraw(_JOB, 1, tuple(range(8)), 1))
        else:
            bench.control.cut = True
            bench.clock.offset_ms += 6000
        await trio.sleep(2)
        assert len(bench.starts_of(_JOB)) == 1


async def test_leaving_guard_finishes_accepted_tasks(autojump_clock):
    """Guards against a shutdown that interrupts or loses accepted tasks.

    The guard closes while some tasks run and the others are queued.
    """
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
    """Guards against the start of a task that its entry treats as lost.

    Control ends the incarnation of the guard while one task is queued and the
    others run; the guard registers again with a new incarnation.
    """
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
