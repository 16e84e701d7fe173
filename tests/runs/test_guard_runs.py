"""Runs at a guard under faults of endpoint, entry and guard."""

from __future__ import annotations

import trio
from trio.testing import wait_all_tasks_blocked

from borageward.clock import SystemClock

from tests.runs.guardharness import Guard, ref, running_guard


async def test_runs_end_done_and_are_acknowledged(autojump_clock):
    """Guards against an end that is lost or reported twice."""
    async with running_guard() as (guard, endpoint, entry, _):
        await entry.start(0, 1)
        await trio.sleep(2)
        assert entry.outcomes() == {(0, 1): 'done', (1, 1): 'done'}
        assert len(entry.ends) == 2
        assert not endpoint.finished
        assert not len(guard.table)


async def test_waiting_runs_start_by_rank_without_the_entry(autojump_clock):
    """Guards against an idle slot while runs wait at the guard."""
    async with running_guard() as (guard, endpoint, entry, _nursery):
        await entry.start(0, 1, 2, 3, 4, 5)
        await trio.sleep(0.06)
        assert len(endpoint.running) == 4
        assert guard.table.claimed().cpu_milli == 6000
        await trio.sleep(0.1)
        assert {item.task.index for item in endpoint.starts[4:]} == {4, 5}
        await trio.sleep(0.3)
        assert entry.state.room.cpu_milli == 4000


async def test_lease_is_renewed_while_runs_work(autojump_clock):
    """Guards against a long run that loses its lease."""
    async with running_guard(work_ms=5000) as (_, _endpoint, entry, _nursery):
        await entry.start(0)
        await trio.sleep(6)
        assert entry.outcomes() == {(0, 1): 'done'}


async def test_unanswered_start_that_runs_is_kept(autojump_clock):
    """Guards against two runs of one task after a lost answer."""
    async with running_guard(work_ms=3000) as (_, endpoint, entry, _nursery):
        endpoint.mute_starts = 1
        await entry.start(0)
        await trio.sleep(2)
        assert not entry.ends
        await trio.sleep(2)
        assert entry.outcomes() == {(0, 1): 'done'}
        assert len(endpoint.starts) == 1


async def test_unanswered_start_is_void_after_its_lease(autojump_clock):
    """Guards against a retry while a late order may still be carried out."""
    async with running_guard() as (_, endpoint, entry, _nursery):
        endpoint.mute_starts = 1
        endpoint.apply_muted = False
        endpoint.mute_stops = 100
        await entry.start(0)
        await trio.sleep(0.6)
        assert not entry.ends
        await trio.sleep(1)
        assert entry.outcomes() == {(0, 1): 'lost'}


async def test_unanswered_start_that_never_came_is_settled_by_a_stop(
    autojump_clock,
):
    """Guards against a task that waits for an order that was lost."""
    async with running_guard() as (_, endpoint, entry, _nursery):
        endpoint.mute_starts = 1
        endpoint.apply_muted = False
        await entry.start(0)
        await trio.sleep(1.5)
        assert entry.outcomes() == {(0, 1): 'lost'}


async def test_delayed_order_is_refused(autojump_clock):
    """Guards against an order that a partition held up."""
    async with running_guard() as (_, endpoint, entry, _nursery):
        await trio.sleep(2)
        await entry.start(0, stamp_ms=entry.state.stamp_ms - 1000)
        await trio.sleep(0.5)
        assert entry.outcomes() == {(0, 1): 'refused'}
        assert not endpoint.starts


async def test_runs_of_a_silent_entry_are_stopped(autojump_clock):
    """Guards against work for an entry that may have been replaced."""
    async with running_guard(work_ms=9000) as (_, endpoint, entry, _nursery):
        await entry.start(0)
        await trio.sleep(0.5)
        entry.frozen = True
        # The session ends 900 ms after the newest echoed stamp, which may be
        # a heartbeat and a state interval (200 ms each) old.
        await trio.sleep(0.4)
        assert endpoint.running
        await trio.sleep(1.2)
        assert not endpoint.running


async def test_resumed_session_keeps_its_runs(autojump_clock):
    """Guards against runs that are lost with a connection."""
    async with running_guard(work_ms=700) as (guard, _, entry, nursery):
        await entry.start(0)
        await trio.sleep(0.1)
        await entry.connection.close()
        again = await guard.connect()
        nursery.start_soon(again.run)
        await again.open()
        assert again.opened[0].resumed
        assert again.opened[0].refs == (ref(0),)
        await trio.sleep(1)
        assert again.outcomes() == {(0, 1): 'done'}


async def test_ends_of_a_lost_connection_are_repeated(autojump_clock):
    """Guards against an end that was sent on a broken connection."""
    async with running_guard() as (guard, _, entry, nursery):
        await entry.start(0)
        await trio.sleep(0.05)
        await entry.connection.close()
        await trio.sleep(0.2)
        again = await guard.connect()
        nursery.start_soon(again.run)
        await again.open()
        await trio.sleep(0.1)
        assert again.outcomes() == {(0, 1): 'done'}


async def test_restarted_guard_lists_nothing_before_old_runs_ended(
    autojump_clock,
):
    """Guards against a second run while the first one still works."""
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, nursery):
        await entry.start(0)
        await trio.sleep(0.1)
        guard.scope.cancel()
        follower = Guard(endpoint, nursery)
        nursery.start_soon(follower.run)
        await wait_all_tasks_blocked()
        follower.watch.report(endpoint.status())
        again = await follower.connect()
        nursery.start_soon(again.run)
        await again.open()
        assert not endpoint.running
        assert not again.opened[0].resumed
        assert again.opened[0].refs == ()


async def test_new_incarnation_ends_all_runs(autojump_clock):
    """Guards against waiting for runs that a crash has ended."""
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, _):
        await entry.start(0)
        await trio.sleep(0.1)
        guard.watch.report(endpoint.status(born_ms=2))
        await trio.sleep(0.1)
        assert entry.outcomes() == {(0, 1): 'lost'}


async def test_report_of_an_earlier_incarnation_is_ignored(autojump_clock):
    """Guards against a report that a partition held up."""
    async with running_guard() as (guard, endpoint, entry, _):
        guard.watch.report(endpoint.status(born_ms=0, endpoint_id='old'))
        await trio.sleep(0.3)
        assert entry.state.endpoint_id == 'endpoint-1'


async def test_draining_endpoint_starts_nothing(autojump_clock):
    """Guards against work for an endpoint that leaves."""
    async with running_guard() as (guard, endpoint, entry, _):
        guard.watch.report(endpoint.status(draining=True, sequence=2))
        await entry.start(0)
        await trio.sleep(0.3)
        assert entry.outcomes() == {(0, 1): 'refused'}
        assert not entry.state.accepting


async def test_stalled_run_is_stopped_and_counted(autojump_clock):
    """Guards against a run that hangs until its job's deadline."""
    async with running_guard() as (_, endpoint, entry, _nursery):
        endpoint.hanging = True
        await entry.start(0)
        await trio.sleep(2)
        assert entry.outcomes() == {(0, 1): 'lost'}
        assert entry.state.failing > 0


async def test_failures_of_different_jobs_count(autojump_clock):
    """Guards against an endpoint that fails everything and looks free."""
    async with running_guard() as (_, endpoint, entry, _nursery):
        endpoint.failing = True
        for number in range(6):
            await entry.start(0, job=f'job-{number}')
        await trio.sleep(1.5)
        assert int(entry.state.failing * 10) >= 4


async def test_withdrawn_run_never_starts(autojump_clock):
    """Guards against a start after the entry gave a waiting run up."""
    async with running_guard() as (_, endpoint, entry, _nursery):
        await entry.start(0, 1, 2, 3, 4)
        await trio.sleep(0.02)
        await entry.stop(ref(4))
        await trio.sleep(0.5)
        assert entry.outcomes()[(4, 1)] == 'refused'
        assert ref(4) not in endpoint.starts


async def test_second_run_of_a_task_is_refused_while_one_is_here(
    autojump_clock,
):
    """Guards against a resent job that doubles a run."""
    async with running_guard(work_ms=3000) as (guard, endpoint, entry, nursery):
        await entry.start(0)
        other = await guard.connect('entry-2')
        nursery.start_soon(other.run)
        await other.open()
        await other.start(0)
        await trio.sleep(0.3)
        assert other.outcomes() == {(0, 1): 'refused'}
        assert len(endpoint.starts) == 1


async def test_idle_endpoint_opens_sessions_at_once(autojump_clock):
    """Guards against a restarted guard that waits until a lease has passed."""
    started = trio.current_time()
    async with running_guard():
        took_ms = (trio.current_time() - started) * 1000
        assert took_ms < 200


async def test_end_behind_a_lost_watch_is_noticed_soon(autojump_clock):
    """Guards against ends that a watch without an answer hides."""
    async with running_guard(work_ms=50) as (_, endpoint, entry, _nursery):
        await trio.sleep(2)
        endpoint.mute_holds = 2
        await entry.start(0)
        await trio.sleep(0.8)
        assert entry.outcomes() == {(0, 1): 'done'}


async def test_runs_of_a_silent_endpoint_end_with_its_lease(autojump_clock):
    """Guards against jobs that wait for an endpoint that has crashed.

    Silence is noted after 0.5 to 0.9 s, and the last lease then granted has
    passed 1 s later.
    """
    async with running_guard(work_ms=9000) as (_, endpoint, entry, _nursery):
        await entry.start(0)
        await trio.sleep(0.5)
        endpoint.silent = True
        await trio.sleep(1)
        assert not entry.ends
        assert not entry.state.accepting
        await trio.sleep(1.2)
        assert entry.outcomes() == {(0, 1): 'lost'}
        assert endpoint.lease_has_passed


async def test_silent_endpoint_that_answers_again_is_used(autojump_clock):
    """Guards against an endpoint that stays unused after a short silence."""
    async with running_guard() as (_, endpoint, entry, _nursery):
        await entry.start(0)
        endpoint.silent = True
        await trio.sleep(4)
        endpoint.silent = False
        await trio.sleep(0.5)
        assert entry.state.accepting
        await entry.start(0, job='next')
        await trio.sleep(0.5)
        assert entry.ends[-1].outcome.value == 'done'


async def test_unanswered_start_is_settled_at_once(autojump_clock):
    """Guards against a job that is late for one lost order."""
    async with running_guard() as (_, endpoint, entry, _nursery):
        endpoint.mute_starts = 1
        endpoint.apply_muted = False
        await entry.start(0)
        await trio.sleep(0.2)
        assert entry.outcomes() == {(0, 1): 'lost'}


async def test_run_after_an_idle_time_keeps_its_lease(autojump_clock):
    """Guards against a lease that is not extended because of an old answer."""
    async with running_guard(work_ms=5000) as (_, _endpoint, entry, _nursery):
        await trio.sleep(1.7)
        await entry.start(0)
        await trio.sleep(5.5)
        assert entry.outcomes() == {(0, 1): 'done'}


class SuspendedClock(SystemClock):
    """Clock of a host that was suspended; it counts that time."""

    suspended_ms = 0

    def now_ms(self):
        """Return the time since boot."""
        return super().now_ms() + self.suspended_ms


async def test_suspension_does_not_advance_the_endpoint_clock(autojump_clock):
    """Guards against leases taken for lapsed while their runs still work.

    The endpoint's clock may stand still while the host is suspended.
    """
    clock = SuspendedClock()
    async with running_guard(clock=clock) as (guard, _endpoint, _entry, _):
        endpoint = guard.watch.supervisor.endpoint
        before_ms = endpoint.estimated_ms()
        clock.suspended_ms = 5000
        assert endpoint.estimated_ms() - before_ms < 100
