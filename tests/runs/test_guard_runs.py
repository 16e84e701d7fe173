"""Runs at a guard when the endpoint, an entry or the guard fails."""

from __future__ import annotations

import trio
from trio.testing import wait_all_tasks_blocked

from borageward.clock import SystemClock
from borageward.messages.runs import Demand, OpenSession
from tests.runs.guardharness import Guard, ref, running_guard


async def test_runs_end_done_and_are_acknowledged(autojump_clock):
    """Guards against a run end that is lost or reported twice.

    Each end must reach the entry once, and the endpoint must drop its record
    when the guard has acknowledged it.
    """
    async with running_guard() as (guard, endpoint, entry, _):
        await entry.start(0, 1)
        await trio.sleep(2)
        assert entry.outcomes() == {(0, 1): 'done', (1, 1): 'done'}
        assert len(entry.ends) == 2
        assert not endpoint.finished
        assert not len(guard.table)


async def test_waiting_runs_start_by_rank_without_the_entry(autojump_clock):
    """Guards against idle capacity while runs wait at the guard.

    Six runs are started where four fit. The guard must start the other two
    when capacity becomes free, without a further request from the entry.
    """
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
    """Guards against a long run that ends because its lease expires.

    The run takes several times as long as one lease lasts.
    """
    async with running_guard(work_ms=5000) as (_, _endpoint, entry, _nursery):
        await entry.start(0)
        await trio.sleep(6)
        assert entry.outcomes() == {(0, 1): 'done'}


async def test_unanswered_start_that_runs_is_kept(autojump_clock):
    """Guards against a second run of a task after a lost start reply.

    The endpoint starts the run but its reply is lost. The guard must find the
    run in the lists and keep it.
    """
    async with running_guard(work_ms=3000) as (_, endpoint, entry, _nursery):
        endpoint.unanswered_starts = 1
        await entry.start(0)
        await trio.sleep(2)
        assert not entry.ends
        await trio.sleep(2)
        assert entry.outcomes() == {(0, 1): 'done'}
        assert len(endpoint.starts) == 1


async def test_unanswered_start_is_void_after_its_lease(autojump_clock):
    """Guards against a retry while a delayed start may still take effect.

    Neither the start request nor any stop is answered. The run may be reported
    as lost only after the lease of the start request has expired.
    """
    async with running_guard() as (_, endpoint, entry, _nursery):
        endpoint.unanswered_starts = 1
        endpoint.apply_unanswered_starts = False
        endpoint.unanswered_stops = 100
        await entry.start(0)
        await trio.sleep(0.6)
        assert not entry.ends
        await trio.sleep(1)
        assert entry.outcomes() == {(0, 1): 'lost'}


async def test_unanswered_start_that_never_came_is_settled_by_a_stop(
    autojump_clock,
):
    """Guards against a task that waits forever for a lost start request.

    The request never reaches the endpoint. A confirmed stop rules out a later
    start, so the run is reported as lost.
    """
    async with running_guard() as (_, endpoint, entry, _nursery):
        endpoint.unanswered_starts = 1
        endpoint.apply_unanswered_starts = False
        await entry.start(0)
        await trio.sleep(1.5)
        assert entry.outcomes() == {(0, 1): 'lost'}


async def test_delayed_order_is_refused(autojump_clock):
    """Guards against a start request that a network partition has delayed.

    Its echoed time stamp is older than the session timeout, so the entry may
    have been replaced since it was sent.
    """
    async with running_guard() as (_, endpoint, entry, _nursery):
        await trio.sleep(2)
        await entry.start(0, stamp_ms=entry.state.stamp_ms - 1000)
        await trio.sleep(0.5)
        assert entry.outcomes() == {(0, 1): 'refused'}
        assert not endpoint.starts


async def test_runs_of_a_silent_entry_are_stopped(autojump_clock):
    """Guards against runs for an entry that may have been replaced.

    The entry sends no heartbeats, so its session expires and its runs must
    be stopped.
    """
    async with running_guard(work_ms=9000) as (_, endpoint, entry, _nursery):
        await entry.start(0)
        await trio.sleep(0.5)
        entry.frozen = True
        # The session expires 900 ms after the newest echoed time stamp, which
        # may be a heartbeat and a state interval (200 ms each) old.
        await trio.sleep(0.4)
        assert endpoint.running
        await trio.sleep(1.2)
        assert not endpoint.running


async def test_resumed_session_keeps_its_runs(autojump_clock):
    """Guards against runs that are lost when a connection breaks.

    The entry reconnects before its session expires; the session must list the
    run, which then ends as usual.
    """
    async with running_guard(work_ms=700) as (guard, _, entry, nursery):
        await entry.start(0)
        await trio.sleep(0.1)
        await entry.connection.close()
        reconnected = await guard.connect()
        nursery.start_soon(reconnected.run)
        await reconnected.open(session=entry.opened[0].session)
        assert reconnected.opened[0].resumed
        assert reconnected.opened[0].refs == (ref(0),)
        await trio.sleep(1)
        assert reconnected.outcomes() == {(0, 1): 'done'}


async def test_session_that_replaced_an_expired_one_is_not_resumed(
    autojump_clock,
):
    """Guards against ends that the entry takes for repetitions.

    A guard that was frozen first reads connections that the entry has given up
    meanwhile. The first of them opens a new session, whose ends are numbered
    from one; the connection in use must not be told that it resumed the old
    session.
    """
    async with running_guard(work_ms=10) as (guard, _, entry, nursery):
        await entry.start(0, 1, 2)
        await trio.sleep(0.3)
        former = entry.opened[0].session
        await entry.connection.close()
        await trio.sleep(4)
        given_up = await guard.connect()
        nursery.start_soon(given_up.run)
        await given_up.open(3, former, attempt=2)
        reconnected = await guard.connect()
        nursery.start_soon(reconnected.run)
        await reconnected.open(3, former, attempt=3)
        assert not reconnected.opened[0].resumed
        assert reconnected.opened[0].session != former


async def test_given_up_connection_does_not_take_the_session(autojump_clock):
    """Guards against states and ends that go to a closed connection.

    A thawed guard may read the connections of an entry in any order.
    """
    async with running_guard(work_ms=50) as (guard, _, entry, nursery):
        reconnected = await guard.connect()
        nursery.start_soon(reconnected.run)
        await reconnected.open(attempt=5)
        given_up = await guard.connect()
        nursery.start_soon(given_up.run)
        await given_up.connection.send(OpenSession(entry.name, 0, '', 4))
        await trio.sleep(0.05)
        await reconnected.start(0)
        await trio.sleep(0.3)
        assert reconnected.outcomes() == {(0, 1): 'done'}


async def test_ends_of_a_lost_connection_are_repeated(autojump_clock):
    """Guards against a run end that is lost with a broken connection.

    The run ends while the entry is disconnected, and its end must be sent
    after the entry has reconnected.
    """
    async with running_guard() as (guard, _, entry, nursery):
        await entry.start(0)
        await trio.sleep(0.05)
        await entry.connection.close()
        await trio.sleep(0.2)
        reconnected = await guard.connect()
        nursery.start_soon(reconnected.run)
        await reconnected.open()
        await trio.sleep(0.1)
        assert reconnected.outcomes() == {(0, 1): 'done'}


async def test_restarted_guard_lists_nothing_before_old_runs_ended(
    autojump_clock,
):
    """Guards against a second run of a task while the first one is active.

    A restarted guard does not know the runs of its predecessor. It may open
    sessions only after these have ended, because entries start a task again
    when its run is not listed.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, nursery):
        await entry.start(0)
        await trio.sleep(0.1)
        guard.scope.cancel()
        restarted_guard = Guard(endpoint, nursery)
        nursery.start_soon(restarted_guard.run)
        await wait_all_tasks_blocked()
        restarted_guard.monitor.report(endpoint.status())
        reconnected = await restarted_guard.connect()
        nursery.start_soon(reconnected.run)
        await reconnected.open()
        assert not endpoint.running
        assert not reconnected.opened[0].resumed
        assert reconnected.opened[0].refs == ()


async def test_new_incarnation_ends_all_runs(autojump_clock):
    """Guards against waiting for runs that ended with an endpoint crash.

    The restarted endpoint reports a later start time, which marks all runs of
    its former incarnation as crashed. A run that still waited for capacity is
    lost: it cannot have caused the crash.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, _):
        await entry.start(0, 1, 2, 3, 4)
        await trio.sleep(0.5)
        endpoint.start_again()
        guard.monitor.report(endpoint.status())
        await trio.sleep(0.1)
        outcomes = entry.outcomes()
        assert outcomes.pop((4, 1)) == 'lost'
        assert outcomes == {(index, 1): 'crashed' for index in range(4)}


async def test_runs_of_an_endpoint_that_leaves_are_not_crashed(autojump_clock):
    """Guards against tasks blamed for an endpoint that shut down as planned."""
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, _):
        await entry.start(0)
        await trio.sleep(0.1)
        guard.monitor.report_leaving(endpoint.status().endpoint_id)
        endpoint.down = True
        await trio.sleep(1.2)
        assert entry.outcomes() == {(0, 1): 'lost'}


async def test_report_of_an_earlier_incarnation_is_ignored(autojump_clock):
    """Guards against a status report that a network partition has delayed.

    The report has an earlier start time than the current incarnation and must
    not replace it.
    """
    async with running_guard() as (guard, endpoint, entry, _):
        guard.monitor.report(endpoint.status(born_ms=0, endpoint_id='old'))
        await trio.sleep(0.3)
        assert entry.state.endpoint_id == 'endpoint-1'


async def test_draining_endpoint_starts_nothing(autojump_clock):
    """Guards against new runs at an endpoint that is shutting down.

    The endpoint reports that it is draining, so the start must be refused.
    """
    async with running_guard() as (guard, endpoint, entry, _):
        guard.monitor.report(endpoint.status(draining=True, sequence=2))
        await entry.start(0)
        await trio.sleep(0.3)
        assert entry.outcomes() == {(0, 1): 'refused'}
        assert not entry.state.accepting


async def test_stalled_run_is_stopped_and_counted(autojump_clock):
    """Guards against a run that hangs until the deadline of its job.

    A run without progress must be stopped and counted as a failure of the
    endpoint.
    """
    async with running_guard() as (_, endpoint, entry, _nursery):
        endpoint.hanging = True
        await entry.start(0)
        await trio.sleep(2)
        assert entry.outcomes() == {(0, 1): 'lost'}
        assert entry.state.failure_share > 0


async def test_failures_of_different_jobs_count(autojump_clock):
    """Guards against an endpoint that fails every run but appears to be free.

    Failures of different jobs must raise the share of failed runs that the
    guard reports to entries.
    """
    async with running_guard() as (_, endpoint, entry, _nursery):
        endpoint.failing = True
        for number in range(6):
            await entry.start(0, job=f'job-{number}')
        await trio.sleep(1.5)
        assert int(entry.state.failure_share * 10) >= 4


async def test_withdrawn_run_never_starts(autojump_clock):
    """Guards against a start after the entry has withdrawn a waiting run.

    Four runs occupy the endpoint while the fifth waits and is withdrawn.
    """
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
    """Guards against a duplicate run when a job is sent to another entry.

    Both entries start the same task at this guard; the second start must be
    refused, but not before the first run has ended.
    """
    async with running_guard(work_ms=3000) as (guard, endpoint, entry, nursery):
        await entry.start(0)
        other = await guard.connect('entry-2')
        nursery.start_soon(other.run)
        await other.open()
        await other.start(0)
        await trio.sleep(0.3)
        assert not other.outcomes()
        await trio.sleep(3)
        assert other.outcomes() == {(0, 1): 'refused'}
        assert len(endpoint.starts) == 1


async def test_idle_endpoint_opens_sessions_at_once(autojump_clock):
    """Guards against a needless wait for lease expiry after a guard restart.

    If the endpoint lists no runs of an earlier guard, sessions open at once.
    """
    started = trio.current_time()
    async with running_guard():
        took_ms = (trio.current_time() - started) * 1000
        assert took_ms < 200


async def test_end_hidden_by_a_lost_poll_is_noticed_soon(autojump_clock):
    """Guards against a run end that stays unnoticed after a lost poll.

    The endpoint does not answer two hold requests. The next one must read the
    end soon, so the wait of a poll must be short while anything runs.
    """
    async with running_guard(work_ms=50) as (_, endpoint, entry, _nursery):
        await trio.sleep(2)
        endpoint.unanswered_holds = 2
        await entry.start(0)
        await trio.sleep(0.8)
        assert entry.outcomes() == {(0, 1): 'done'}


async def test_runs_of_a_silent_endpoint_end_with_its_lease(autojump_clock):
    """Guards against jobs that wait for an endpoint that has crashed.

    The endpoint counts as unreachable after 0.5 to 0.9 s, and the last lease
    granted before has expired 1 s later.
    """
    async with running_guard(work_ms=9000) as (_, endpoint, entry, _nursery):
        await entry.start(0)
        await trio.sleep(0.5)
        endpoint.silent = True
        await trio.sleep(0.85)
        assert not entry.ends
        assert not entry.state.accepting
        with trio.fail_after(1.35):
            while not entry.ends:
                await trio.sleep(0.005)
        assert entry.outcomes() == {(0, 1): 'lost'}
        assert endpoint.lease_expired


async def test_endpoint_that_refuses_connections_takes_no_work(autojump_clock):
    """Guards against tasks sent to an endpoint that has just crashed.

    A refused connection must count at once; with the time-out for a silent
    endpoint, tasks were sent there and refused for 0.5 s.
    """
    async with running_guard(work_ms=9000) as (_, endpoint, entry, _nursery):
        await entry.start(0)
        await trio.sleep(0.5)
        endpoint.down = True
        await trio.sleep(0.1)
        assert not entry.state.accepting


async def test_refused_start_reveals_a_crashed_endpoint(autojump_clock):
    """Guards against a task that returns to a crashed endpoint again and again.

    The state sent with the refusal must say that the endpoint takes no work.
    """
    async with running_guard() as (_, endpoint, entry, _nursery):
        endpoint.down = True
        await entry.start(0)
        while not entry.ends:
            await trio.sleep(0.001)
        await trio.sleep(0.002)
        assert not entry.state.accepting


async def test_runs_of_a_crashed_endpoint_end_with_its_last_lease(
    autojump_clock,
):
    """Guards against jobs that wait for a crashed endpoint too long.

    A lease is not extended by calls that cannot be sent, so the runs end
    1.1 s after the crash, and not before their lease.
    """
    async with running_guard(work_ms=9000) as (_, endpoint, entry, _nursery):
        await entry.start(0)
        await trio.sleep(0.5)
        endpoint.down = True
        await trio.sleep(1.15)
        assert entry.outcomes() == {(0, 1): 'crashed'}
        assert endpoint.lease_expired


async def test_run_that_may_not_have_started_is_not_crashed(autojump_clock):
    """Guards against a task blamed for a crash before its start.

    The endpoint crashed before it answered the start, so the run may never have
    been at work, and its job must not be shown as failed for it.
    """
    async with running_guard(work_ms=9000) as (_, endpoint, entry, _nursery):
        endpoint.unanswered_starts = 1
        endpoint.apply_unanswered_starts = False
        await entry.start(0)
        await trio.sleep(0.02)
        endpoint.down = True
        await trio.sleep(1.5)
        assert entry.outcomes() == {(0, 1): 'lost'}


async def test_silent_endpoint_that_answers_again_is_used(autojump_clock):
    """Guards against an endpoint that stays unused after a short outage.

    The endpoint answers no calls for 4 s and must accept runs again afterwards.
    """
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
    """Guards against a job that is late because of one lost start request.

    The guard must settle the run by a stop at once, not when the lease of the
    request expires.
    """
    async with running_guard() as (_, endpoint, entry, _nursery):
        endpoint.unanswered_starts = 1
        endpoint.apply_unanswered_starts = False
        await entry.start(0)
        await trio.sleep(0.2)
        assert entry.outcomes() == {(0, 1): 'lost'}


async def test_run_after_an_idle_time_keeps_its_lease(autojump_clock):
    """Guards against a lease that is not extended after an idle period.

    Leases are extended only after a recent answer, and while the endpoint is
    idle the last answer may be older than that.
    """
    async with running_guard(work_ms=5000) as (_, _endpoint, entry, _nursery):
        await trio.sleep(1.7)
        await entry.start(0)
        await trio.sleep(5.5)
        assert entry.outcomes() == {(0, 1): 'done'}


class SuspendedClock(SystemClock):
    """Clock that counts the time in which its host was suspended."""

    suspended_ms = 0

    def now_ms(self):
        """Return the time in milliseconds, suspensions included."""
        return super().now_ms() + self.suspended_ms


async def test_suspension_does_not_advance_the_endpoint_clock(autojump_clock):
    """Guards against leases that count as expired while their runs are active.

    The endpoint's clock may stop while the host is suspended, so the guard's
    estimate of it must not include that time.
    """
    clock = SuspendedClock()
    async with running_guard(clock=clock) as (guard, _endpoint, _entry, _):
        endpoint = guard.monitor.supervisor.endpoint
        before_ms = endpoint.estimated_clock_ms()
        clock.suspended_ms = 5000
        assert endpoint.estimated_clock_ms() - before_ms < 100


async def test_idle_session_costs_few_messages(autojump_clock):
    """Guards against heartbeats that use up the processor of a large fleet."""
    async with running_guard() as (_, _, entry, _):
        received = entry.received
        await trio.sleep(2)
        assert entry.received - received <= 5


async def test_entry_that_only_starts_runs_keeps_its_session(autojump_clock):
    """Guards against an expired session at an entry that is never idle.

    A start request echoes the stamp of a state like a heartbeat does.
    """
    async with running_guard(work_ms=50) as (_, _, entry, _):
        entry.silent = True
        for index in range(20):
            await entry.start(index)
            await trio.sleep(0.1)
        assert set(entry.outcomes().values()) == {'done'}
        assert len(entry.ends) >= 19


async def test_idle_session_outlives_a_short_silence(autojump_clock):
    """Guards against sessions that are opened again and again while idle.

    A session without runs has no authority that could outlast its entry.
    """
    async with running_guard() as (guard, _, entry, _):
        entry.frozen = True
        await trio.sleep(2)
        assert guard.sessions.open_sessions == 1
        await trio.sleep(2)
        assert guard.sessions.open_sessions == 0


async def test_orders_of_a_reopened_link_are_counted_anew(autojump_clock):
    """Guards against room that is used twice after a link was reopened.

    The new link numbers its orders from one; a state that claims to count a
    later order would hide them.
    """
    async with running_guard() as (guard, _, entry, nursery):
        for index in range(3):
            await entry.start(index)
        await trio.sleep(0.5)
        reopened = await guard.connect()
        nursery.start_soon(reopened.run)
        await reopened.open(attempt=1)
        assert reopened.state.last_order == 0


async def test_nothing_starts_over_a_shrunk_capacity(autojump_clock):
    """Guards against an overloaded endpoint whose capacity has shrunk.

    Two of its four cores are left. Runs that fit these wait until the first
    ones have ended, and a stopped run counts until it is gone.
    """
    async with running_guard(work_ms=300) as (guard, endpoint, entry, _):
        await entry.start(0, 1)
        await trio.sleep(0.1)
        smaller = endpoint.status(capacity=Demand(2000, 2000), sequence=2)
        guard.monitor.report(smaller)
        await entry.start(2, 3)
        await trio.sleep(0.1)
        assert entry.state.capacity == Demand(2000, 2000)
        assert len(endpoint.starts) == 2
        await trio.sleep(0.2)
        assert len(endpoint.starts) == 4


async def test_waiting_runs_leave_an_endpoint_that_shrinks_below_its_use(
    autojump_clock,
):
    """Guards against tasks that wait for capacity that will not be free soon.

    Four runs are at work on an endpoint that has one core left. The fifth one
    must go elsewhere, and nothing starts before three of the four have ended.
    """
    async with running_guard(work_ms=400) as (guard, endpoint, entry, _):
        await entry.start(0, 1, 2, 3, 4)
        await trio.sleep(0.1)
        smaller = endpoint.status(capacity=Demand(1000, 1000), sequence=2)
        guard.monitor.report(smaller)
        await trio.sleep(0.1)
        assert entry.outcomes() == {(4, 1): 'refused'}
        assert entry.state.room == Demand(-3000, -3000)
        await trio.sleep(0.3)
        await entry.start(4, 5, run=2)
        await trio.sleep(0.1)
        assert len(endpoint.starts) == 5


async def test_run_that_no_longer_fits_at_all_is_refused(autojump_clock):
    """Guards against a task that waits for its whole deadline at an endpoint.

    The capacity that is left is smaller than the task needs.
    """
    async with running_guard(work_ms=200) as (guard, endpoint, entry, _):
        smaller = endpoint.status(capacity=Demand(500, 4000), sequence=2)
        guard.monitor.report(smaller)
        await entry.start(0)
        await trio.sleep(0.1)
        assert entry.outcomes() == {(0, 1): 'refused'}


async def test_capacity_that_grows_again_is_used_at_once(autojump_clock):
    """Guards against room left unused after an endpoint has grown again."""
    async with running_guard(work_ms=400) as (guard, endpoint, entry, _):
        smaller = endpoint.status(capacity=Demand(1000, 1000), sequence=2)
        guard.monitor.report(smaller)
        await entry.start(0, 1, 2)
        await trio.sleep(0.1)
        assert len(endpoint.starts) == 1
        guard.monitor.report(endpoint.status(sequence=3))
        # A report from before arrives late and must not count.
        guard.monitor.report(smaller)
        await trio.sleep(0.1)
        assert len(endpoint.starts) == 3
        assert entry.state.capacity == Demand(4000, 4000)


async def test_second_run_of_a_task_is_refused_once_the_first_has_ended(
    autojump_clock,
):
    """Guards against a task that starts elsewhere beside another entry's run.

    Its caller has submitted the job through two entries, which order a run of
    the same task at the same guard. The second entry reconnects meanwhile.
    """
    async with running_guard(work_ms=600) as (guard, endpoint, entry, nursery):
        second = await guard.connect('entry-2')
        nursery.start_soon(second.run)
        await second.open()
        await entry.start(0)
        await trio.sleep(0.1)
        await second.start(0)
        await trio.sleep(0.1)
        again = await guard.connect('entry-2')
        nursery.start_soon(again.run)
        await again.open(session=second.opened[0].session, attempt=1)
        assert again.opened[0].refs == (ref(0),)
        while not again.ends:
            assert not second.ends
            await trio.sleep(0.001)
        assert not endpoint.running
        assert again.outcomes() == {(0, 1): 'refused'}
        assert entry.outcomes() == {(0, 1): 'done'}
        assert endpoint.starts == [ref(0)]


async def test_refusal_outlives_the_session_in_which_it_was_ordered(
    autojump_clock,
):
    """Guards against a task that starts elsewhere beside another entry's run.

    The session of the second entry expires before its refusal is reported, and
    a run that its next session does not list counts as lost.
    """
    async with running_guard(work_ms=9000) as (guard, _, entry, nursery):
        second = await guard.connect('entry-2')
        nursery.start_soon(second.run)
        await second.open()
        await entry.start(0)
        await trio.sleep(0.1)
        await second.start(0)
        await trio.sleep(0.1)
        second.frozen = True
        await trio.sleep(4)
        again = await guard.connect('entry-2')
        nursery.start_soon(again.run)
        await again.open(session=second.opened[0].session, attempt=1)
        assert not again.opened[0].resumed
        assert again.opened[0].refs == (ref(0),)
        await entry.stop(ref(0))
        await trio.sleep(0.5)
        assert again.outcomes() == {(0, 1): 'refused'}
