"""Runs at an endpoint that starts again under the id that it had."""

from __future__ import annotations

import trio

from tests.runs.guardharness import ref, running_guard


async def wait_for_end(entry, run_ref):
    """Wait until the entry knows the end of a run and return its outcome."""
    with trio.fail_after(5):
        while True:
            for end in entry.ends:
                if end.ref == run_ref:
                    return end.outcome.value
            await trio.sleep(0.001)


async def test_restarted_endpoint_with_same_id_does_not_run_a_task_twice(
    autojump_clock,
):
    """Guards against a run that is reported as lost while it is active.

    A start that was meant for the former incarnation is carried out by the new
    one, because calls name the id only. When the new one reports itself, the
    run must be stopped before its entry may start the task elsewhere.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, _):
        endpoint.start_again()
        await entry.start(0)
        await trio.sleep(0.02)
        assert ref(0).task in endpoint.running
        guard.monitor.report(endpoint.status())
        assert await wait_for_end(entry, ref(0)) == 'lost'
        assert not endpoint.running


async def test_unanswered_stop_in_a_restarted_endpoint_delays_the_end(
    autojump_clock,
):
    """Guards against a run that is lost before its stop was answered.

    The new incarnation leaves the first stops unanswered, and its lease lasts
    long because it was granted on the clock of the former one.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, _):
        endpoint.start_again()
        endpoint.unanswered_stops = 4
        await entry.start(0)
        await trio.sleep(0.02)
        guard.monitor.report(endpoint.status())
        await trio.sleep(0.3)
        assert ref(0).task in endpoint.running
        assert not entry.ends
        assert await wait_for_end(entry, ref(0)) == 'lost'
        assert not endpoint.running


async def test_restarted_silent_endpoint_may_still_run_a_task(autojump_clock):
    """Guards against a lost run while the new incarnation may work on it.

    The new incarnation carries out the start, reports itself and answers no
    call. Nothing bars or shows the run until it answers again.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, _):
        endpoint.start_again()
        await entry.start(0)
        await trio.sleep(0.02)
        endpoint.silent = True
        guard.monitor.report(endpoint.status())
        await trio.sleep(0.9)
        assert ref(0).task in endpoint.running
        assert not entry.ends
        endpoint.silent = False
        assert await wait_for_end(entry, ref(0)) == 'lost'
        assert not endpoint.running


async def test_listed_runs_end_with_their_incarnation(autojump_clock):
    """Guards against runs that wait for a former incarnation.

    A run that the former incarnation has listed cannot be active in the new
    one, so it is reported at once, even if the new one does not answer.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, _):
        await entry.start(0)
        await trio.sleep(0.5)
        endpoint.start_again()
        endpoint.silent = True
        guard.monitor.report(endpoint.status())
        await trio.sleep(0.01)
        assert entry.outcomes() == {(0, 1): 'crashed'}


async def test_lists_of_a_restarted_endpoint_do_not_make_it_accept_runs(
    autojump_clock,
):
    """Guards against starts at an endpoint whose new incarnation is unknown.

    The new incarnation answers calls before it has reported itself. Its lists
    end the former one, and no start may reach it before its report.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, _):
        await entry.start(0)
        await trio.sleep(0.5)
        endpoint.start_again()
        await trio.sleep(0.4)
        assert entry.outcomes() == {(0, 1): 'crashed'}
        assert not entry.state.accepting
        await entry.start(1)
        assert await wait_for_end(entry, ref(1)) == 'refused'
        assert not endpoint.running
        guard.monitor.report(endpoint.status())
        await trio.sleep(0.2)
        assert entry.state.accepting


async def test_restarted_endpoint_that_has_seen_the_old_fence_is_usable(
    autojump_clock,
):
    """Guards against a fence that is lower than that of a former incarnation.

    The clock of the new incarnation starts anew. It has carried out a start
    under the old fence, and must accept the stop and the next start soon.
    """
    async with running_guard() as (guard, endpoint, entry, _):
        endpoint.start_again()
        endpoint.work_ms = 9000
        await entry.start(0)
        await trio.sleep(0.02)
        endpoint.work_ms = 100
        guard.monitor.report(endpoint.status())
        await wait_for_end(entry, ref(0))
        await trio.sleep(0.1)
        assert entry.state.accepting
        await entry.start(0, run=2)
        assert await wait_for_end(entry, ref(0, 2)) == 'done'


async def test_late_start_of_a_former_incarnation_is_stopped_until_gone(
    autojump_clock,
):
    """Guards against a late start that works on in a new incarnation.

    The start was settled in the former incarnation, so its entry may have
    started the task elsewhere. The new incarnation carries it out before it
    knows a fence, and leaves the first stops unanswered.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, _):
        endpoint.unanswered_starts = 1
        endpoint.apply_unanswered_starts = False
        await entry.start(0)
        assert await wait_for_end(entry, ref(0)) == 'lost'
        endpoint.start_again()
        endpoint.unanswered_stops = 2
        endpoint.apply_late_starts()
        guard.monitor.report(endpoint.status())
        await trio.sleep(0.1)
        assert endpoint.running
        await trio.sleep(0.5)
        assert not endpoint.running


async def test_delayed_leaving_message_of_a_former_incarnation_is_ignored(
    autojump_clock,
):
    """Guards against runs that are lost because an earlier incarnation left.

    The message was delayed until the endpoint had started again under the
    same id, and names the start time of the earlier incarnation.
    """
    async with running_guard(work_ms=600) as (guard, endpoint, entry, _):
        former = endpoint.status()
        endpoint.start_again()
        guard.monitor.report(endpoint.status())
        await trio.sleep(0.2)
        await entry.start(0)
        await trio.sleep(0.1)
        guard.monitor.report_leaving(former.endpoint_id, former.born_ms)
        assert await wait_for_end(entry, ref(0)) == 'done'
