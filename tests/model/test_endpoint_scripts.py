"""Named scenarios of endpoints and guards that a drawn seed hardly reaches."""

from __future__ import annotations

import pytest
import trio

from borageward.dispatch import JobRequest, StepSpec
from borageward.messages.runs import Demand
from tests.model.callers import RESEND_S
from tests.model.entries import QUEUE
from tests.model.world import run_script

_WORK_MS = 6000
_DEADLINE_MS = 9000


def _request(job_id='job', cpu_milli=1000, work_ms=_WORK_MS):
    step = StepSpec(1, Demand(cpu_milli, cpu_milli), work_ms)
    return JobRequest(job_id, str(work_ms), (step,), QUEUE, _DEADLINE_MS)


def _leave_unanswered(guards, kinds, late_s=None):
    """Leave calls unanswered; they are carried out after ``late_s``."""
    for guard in guards:
        endpoint = guard.endpoint
        endpoint.late = frozenset(kinds)
        endpoint.late_share = 1.0
        endpoint.applied_share = 0 if late_s is None else 1.0
        endpoint.late_s = (late_s, late_s)


async def _wait_for_unanswered_start(world):
    """Return the guard whose endpoint has not answered a start."""
    while True:
        for guard in world.guards:
            if guard.endpoint.unanswered['start']:
                return guard
        await trio.sleep(0.001)


def _assert_single_runs(result):
    assert result.starts
    assert not result.breaches, str(result.breaches[0])


def test_late_start_is_carried_out_by_a_restarted_endpoint():
    """Guards against a run that is called ended before its start is barred.

    The endpoint restarts under its id. It answers the guard's first read, but
    gets no call with the new fence; then it carries out the start that was
    meant for its former incarnation.
    """

    async def play(world):
        _leave_unanswered(world.guards, ('start',), late_s=1.6)
        world.entries[0].submit(_request())
        guard = await _wait_for_unanswered_start(world)
        _leave_unanswered(world.guards, ())
        guard.endpoint.crash()
        guard.endpoint.start_again()
        _leave_unanswered((guard,), ('hold', 'stop'))
        await trio.sleep(2.5)

    _assert_single_runs(run_script(play, guards=6))


def test_late_start_is_barred_before_its_task_starts_elsewhere():
    """Guards against lists that call a run ended whose start is under way."""

    async def play(world):
        _leave_unanswered(world.guards, ('start',), late_s=0.3)
        world.entries[0].submit(_request())
        await _wait_for_unanswered_start(world)
        _leave_unanswered(world.guards, ())
        await trio.sleep(1)

    _assert_single_runs(run_script(play, guards=6))


def test_second_run_waits_for_the_first_at_the_same_guard():
    """Guards against a refusal while the other run of the task is at work.

    The first entry does not learn that its caller has left, as when the reset
    of the connection is lost. The second entry has no room elsewhere at first.
    """

    async def play(world):
        first, second = world.entries
        first.submit(_request('other', cpu_milli=3000, work_ms=2300))
        await trio.sleep(0.1)
        exchange = first.submit(_request(cpu_milli=2000))
        await trio.sleep(0.1)
        first.break_exchange(exchange, delay_s=_DEADLINE_MS)
        await trio.sleep(RESEND_S)
        second.submit(_request(cpu_milli=2000))
        await trio.sleep(1.5)

    _assert_single_runs(run_script(play, guards=2))


@pytest.mark.parametrize('phase_s', [index * 0.02 for index in range(8)])
@pytest.mark.parametrize('cut_s', [0.78, 0.8, 0.82])
def test_order_arrives_after_its_session_has_expired(phase_s, cut_s):
    """Guards against an order that outlives its session.

    A guard is cut off, while others are heard. The entry opens a new session
    there before the order arrives on its former link, learns that the run is
    not there and orders another one.
    """

    async def play(world):
        first, second = world.entries
        world.network.retransmit_s = (0.01, 0.011)
        for number in range(6):
            first.submit(_request(f'other{number}'))
        await trio.sleep(1 + phase_s)
        paths = [(first.name, guard.name) for guard in world.guards[1:]]
        paths += [(target, source) for source, target in paths]
        first.submit(_request())
        await trio.sleep(0.0013)
        for path in paths:
            world.network.cut(path)
        await trio.sleep(cut_s)
        for healed in paths:
            world.network.heal(healed)
        await trio.sleep(1)

    _assert_single_runs(run_script(play, guards=6))


@pytest.mark.parametrize('dark_s', [0.05, 0.2, 0.4])
def test_guard_returns_before_the_runs_of_its_predecessor_have_ended(dark_s):
    """Guards against a new guard that denies the runs of the former one.

    The endpoint works on and answers the first read of the new guard only, so
    that its lists do not show these runs in time.
    """

    async def play(world):
        entry = world.entries[0]
        for number in range(6):
            entry.submit(_request(f'job{number}'))
        await trio.sleep(1)
        guard = next(host for host in world.guards if host.endpoint.running)
        guard.process.end(dark=True)
        await trio.sleep(dark_s)
        _leave_unanswered((guard,), ('hold', 'stop'))
        world.network.reset(entry.name, guard.name)
        guard.start_guard()
        await trio.sleep(1.5)

    _assert_single_runs(run_script(play, entries=1, guards=6))


def test_lists_are_overtaken_by_the_reply_to_a_start():
    """Guards against older lists that call a run ended which has just begun.

    Ends of short runs let the guard ask for lists all the time.
    """

    async def play(world):
        for guard in world.guards:
            guard.endpoint.reply_delay_s = 0.08
        first, second = world.entries
        for number in range(40):
            first.submit(_request(f'short{number}', work_ms=60))
            second.submit(_request(f'job{number}', work_ms=900))
            await trio.sleep(0.05)
        await trio.sleep(1)

    _assert_single_runs(run_script(play, guards=4))
