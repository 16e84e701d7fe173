"""Log lines of a guard that tell two runs of a task apart."""

from __future__ import annotations

import types

import trio

from borageward.clock import SystemClock
from borageward.messages.runs import RunOutcome
from borageward.runs.endings import EndProof, ListTime, ProofKind, RunLog
from borageward.runs.port import EndpointLists, ListedRun
from tests.runs.guardharness import RecordingLog, ref, running_guard

UNKNOWN = '-'


def only(guard, name):
    """Return the fields of the only event with a name."""
    lines = guard.log.of(name)
    assert len(lines) == 1
    return lines[0]


def show_running(guard, clock_lead_ms, *refs):
    """Let the endpoint list runs, composed at a time relative to now."""
    supervisor = guard.monitor.supervisor
    clock_ms = supervisor.endpoint.estimated_clock_ms() + clock_lead_ms
    listed = tuple(ListedRun(item, 50) for item in refs)
    supervisor.observe(
        EndpointLists(clock_ms, listed),
        trio.current_time() * 1000,
    )


async def test_end_of_a_stopped_run_names_its_proof(autojump_clock):
    """Guards against an end after which a task starts again without a trace.

    The entry may order the task anew from then on, so the line tells what was
    known of the first run, and how long its authority would have lasted.
    """
    async with running_guard(work_ms=9000) as (guard, _, entry, _nursery):
        await entry.start(0)
        await trio.sleep(0.3)
        await entry.stop(ref(0))
        await trio.sleep(0.3)
        fields = only(guard, 'run_end_proved')
        assert (fields['job'], fields['task'], fields['run']) == ('job', 0, 1)
        assert (fields['outcome'], fields['state']) == ('lost', 'stopping')
        assert fields['proof'] == 'listed_end'
        assert 0 <= fields['list_age_ms'] <= 600
        assert 0 < fields['lease_left_ms'] <= 800
        assert 700 < fields['limit_left_ms'] <= 1200


async def test_done_runs_have_no_line(autojump_clock):
    """Guards against a line a run, which would exceed the volume of the log."""
    async with running_guard() as (guard, _, entry, _nursery):
        await entry.start(0, 1, 2)
        await trio.sleep(1)
        assert len(entry.ends) == 3
        assert not guard.log.of('run_end_proved')
        assert not guard.log.of('repeated_start')


async def test_failed_run_has_a_line(autojump_clock):
    """Guards against repeated tasks whose first run has no recorded end."""
    async with running_guard() as (guard, endpoint, entry, _nursery):
        endpoint.failing = True
        await entry.start(0)
        await trio.sleep(0.5)
        assert only(guard, 'run_end_proved')['outcome'] == 'failed'


async def test_end_by_the_leases_tells_how_long_they_are_over(autojump_clock):
    """Guards against an end that rests on time and does not say how much."""
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, _):
        await entry.start(0)
        await trio.sleep(0.5)
        endpoint.silent = True
        await trio.sleep(2)
        fields = only(guard, 'run_end_proved')
        assert fields['proof'] == 'leases_expired'
        assert -160 < fields['lease_left_ms'] <= -60
        assert fields['list_age_ms'] == UNKNOWN


async def test_lease_that_lapsed_during_a_freeze_is_known(autojump_clock):
    """Guards against a run that seems to work until a frozen guard thaws.

    A new lease begins after the thaw, but the one of the run is over since.
    The stand-in for the freeze is an endpoint that is silent for 3 s. The lease
    ends 0.5 to 0.8 s after its begin, 2.8 to 3.1 s before the end of the test.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, _):
        await entry.start(0)
        await trio.sleep(0.5)
        run = next(iter(guard.table))
        known = guard.monitor.supervisor.endpoint
        assert known.lease_balance_ms(run.lapses) > 0
        endpoint.silent = True
        guard.table.remove(run)
        await trio.sleep(3)
        endpoint.silent = False
        await trio.sleep(0.3)
        await entry.start(1)
        await trio.sleep(0.3)
        assert known.lapses > run.lapses
        assert -3150 < known.lease_balance_ms(run.lapses) < -2650
        assert known.lease_balance_ms(known.lapses) > 0


async def test_last_lists_with_a_run_are_dated(autojump_clock):
    """Guards against an end that leaves open whether two runs overlapped.

    The run was at work for sure when the last lists that show it were
    requested, which is between one and two polls before its end.
    """
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, _):
        await entry.start(0)
        await trio.sleep(1)
        endpoint.silent = True
        await trio.sleep(2)
        fields = only(guard, 'run_end_proved')
        assert 800 < fields['listed_ms'] < 1600


async def test_run_missing_from_lists_tells_their_age(autojump_clock):
    """Guards against an end by lists that cannot be compared with the start."""
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, _):
        await entry.start(0)
        await trio.sleep(0.3)
        endpoint.running.clear()
        await trio.sleep(0.5)
        fields = only(guard, 'run_end_proved')
        assert fields['proof'] == 'missing'
        assert fields['list_age_ms'] <= fields['confirmed_ms']


async def test_end_of_an_incarnation_is_named(autojump_clock):
    """Guards against runs of a restarted endpoint that end without a reason."""
    async with running_guard(work_ms=9000) as (guard, endpoint, entry, _):
        await entry.start(0)
        await trio.sleep(0.5)
        endpoint.start_again()
        guard.monitor.report(endpoint.status())
        await trio.sleep(0.3)
        fields = only(guard, 'run_end_proved')
        assert fields['proof'] == 'incarnation_ended'


async def test_run_that_never_started_is_told_apart(autojump_clock):
    """Guards against a refused run that looks like one that was at work."""
    async with running_guard() as (guard, endpoint, entry, _):
        guard.monitor.report(endpoint.status(draining=True, sequence=2))
        await entry.start(0)
        await trio.sleep(0.3)
        fields = only(guard, 'run_end_proved')
        assert fields['proof'] == 'not_started'
        assert fields['outcome'] == 'refused'


async def test_refusal_before_the_table_has_a_line(autojump_clock):
    """Guards against a late order that the guard refuses without a line."""
    async with running_guard() as (guard, _endpoint, entry, _):
        await trio.sleep(1)
        await entry.start(0, stamp_ms=entry.opened_stamp_ms - 2000)
        await trio.sleep(0.1)
        fields = only(guard, 'run_end_proved')
        assert fields['proof'] == 'not_started'
        assert 'delayed' in fields['detail']


async def test_refusal_beside_another_run_has_a_line(autojump_clock):
    """Guards against a refusal whose later report cannot be dated."""
    async with running_guard(work_ms=1000) as (guard, _, entry, nursery):
        await entry.start(0)
        other = await guard.connect('entry-2')
        nursery.start_soon(other.run)
        await other.open()
        await other.start(0)
        await trio.sleep(0.3)
        assert not guard.log.of('run_end_proved')
        await trio.sleep(1)
        assert only(guard, 'run_end_proved')['entry'] == 'entry-2'


async def test_start_of_a_second_run_is_dated(autojump_clock):
    """Guards against a second run that may have begun at any time."""
    async with running_guard() as (guard, _, entry, _nursery):
        await entry.start(0, run=2)
        await trio.sleep(0.5)
        stages = [item['stage'] for item in guard.log.of('repeated_start')]
        assert stages == ['sent', 'confirmed']


async def test_unanswered_second_start_is_dated_by_the_lists(autojump_clock):
    """Guards against a second run that is at work although no reply came."""
    async with running_guard(work_ms=3000) as (guard, endpoint, entry, _):
        endpoint.unanswered_starts = 1
        await entry.start(0, run=2)
        await trio.sleep(1)
        lines = guard.log.of('repeated_start')
        assert [item['stage'] for item in lines] == ['sent', 'listed']
        assert 0 < lines[1]['sent_ms'] < 400


async def test_orphan_of_older_lists_is_told_apart(autojump_clock):
    """Guards against overtaken lists that look like a run that works on.

    The run has ended by newer lists before; they differ by the endpoint's
    clock, as a poll that was requested earlier may be answered later.
    """
    async with running_guard() as (guard, _, entry, _nursery):
        await entry.start(0)
        await trio.sleep(0.4)
        show_running(guard, -400, ref(0))
        fields = only(guard, 'orphan_stopped')
        assert (fields['task'], fields['run']) == (0, 1)
        assert fields['proof'] == 'listed_end'
        assert fields['lead_ms'] < 0
        assert 0 < fields['ended_ms'] < 400


async def test_orphan_of_newer_lists_is_told_apart(autojump_clock):
    """Guards against a run at work after its end that looks like an old list.

    This is the case in which the rule of one run at a time is at stake.
    """
    async with running_guard() as (guard, _, entry, _nursery):
        await entry.start(0)
        await trio.sleep(0.4)
        show_running(guard, 20, ref(0))
        assert only(guard, 'orphan_stopped')['lead_ms'] > 0


async def test_orphan_without_an_end_is_told_apart(autojump_clock):
    """Guards against a run of a former guard that looks like an old list."""
    async with running_guard() as (guard, _, _entry, _nursery):
        show_running(guard, 0, ref(7))
        fields = only(guard, 'orphan_stopped')
        assert (fields['ended_ms'], fields['lead_ms']) == (UNKNOWN, UNKNOWN)


async def test_run_that_outlives_its_confirmed_stop_is_reported(
    autojump_clock, monkeypatch
):
    """Guards against an endpoint that confirms stops and goes on unnoticed.

    The lease is extended for other runs once a stop is confirmed, so such a
    run may work on beside its repetition.
    """
    async with running_guard(work_ms=3000) as (guard, endpoint, entry, _):
        monkeypatch.setattr(endpoint, '_stop', lambda stopped: None)
        await entry.start(0)
        await trio.sleep(0.3)
        await entry.stop(ref(0))
        await trio.sleep(1)
        fields = only(guard, 'stopped_run_listed')
        assert (fields['job'], fields['task'], fields['run']) == ('job', 0, 1)
        assert 60 < fields['confirmed_ms'] < 700
        assert fields['lease_left_ms'] > 0


async def test_orphan_that_outlives_its_confirmed_stop_is_reported(
    autojump_clock, monkeypatch
):
    """Guards against an unknown run that goes on after its confirmed stop."""
    async with running_guard(work_ms=3000) as (guard, endpoint, entry, _):
        monkeypatch.setattr(endpoint, '_stop', lambda stopped: None)
        await entry.start(0, 1)
        await trio.sleep(0.2)
        guard.table.remove(next(iter(guard.table)))
        await trio.sleep(1)
        assert only(guard, 'stopped_run_listed')['task'] == 0


async def test_run_that_a_stop_ends_is_not_reported(autojump_clock):
    """Guards against an alarm for each stop, which hides the true ones."""
    async with running_guard(work_ms=3000) as (guard, _, entry, _nursery):
        await entry.start(0, 1)
        await trio.sleep(0.3)
        await entry.stop(ref(0))
        await trio.sleep(1)
        assert not guard.log.of('stopped_run_listed')


class Ending:
    """Ends runs in a run log whose clock is set by hand."""

    def __init__(self):
        self.log = RecordingLog()
        self.now_ms = 0
        clock = SystemClock()
        clock.now_ms = lambda: self.now_ms
        self.run_log = RunLog(clock, self.log)

    def end(self, index):
        """End a run as done."""
        run = types.SimpleNamespace(ref=ref(index))
        proof = EndProof(ProofKind.LISTED_END, ListTime(0, 0, 1))
        self.run_log.ended(run, RunOutcome.DONE, 'done', proof, None)

    def knows(self, index):
        """Return whether the end of a run is known."""
        self.run_log.orphan(ref(index), ListTime(0, 0, 1))
        return self.log.of('orphan_stopped')[-1]['ended_ms'] != UNKNOWN


def test_ends_are_kept_for_a_while_only():
    """Guards against memory that grows with each run of a guard's life."""
    ending = Ending()
    ending.end(0)
    ending.now_ms = 4000
    ending.end(1)
    assert ending.knows(0)
    ending.now_ms = 6000
    ending.end(2)
    assert not ending.knows(0)
    assert ending.knows(1)


def test_ends_of_a_storm_are_bounded():
    """Guards against memory that grows with the rate of refused runs."""
    ending = Ending()
    for index in range(1001):
        ending.end(index)
    assert not ending.knows(0)
    assert ending.knows(1)
