"""Contact of an idle entry with a single guard."""

from __future__ import annotations

import trio

from borageward.clock import SystemClock
from borageward.dispatch.contact import CallerContact
from tests.runs.guardharness import RecordingLog, running_guard


async def test_states_of_an_idle_guard_leave_no_silence(autojump_clock):
    """Guards against a guard whose usual pauses put callers in doubt.

    An entry without runs hears its only guard at the idle interval. Nobody
    stands still.
    """
    async with running_guard() as (_, _endpoint, entry, _nursery):
        log = RecordingLog()
        contact = CallerContact(SystemClock(), log)
        received = entry.received
        for _ in range(3000):
            await trio.sleep(0.01)
            if entry.received > received:
                received = entry.received
                contact.record(trio.current_time() * 1000)
        assert not log.of('callers_in_doubt')


async def test_job_at_an_idle_guard_waits_for_no_doubt(autojump_clock):
    """Guards against a job that is never ordered while its entry has no runs.

    The job waits for room at the only guard, which is busy for other entries
    and sends states at the idle interval.
    """
    async with running_guard() as (_, _endpoint, entry, _nursery):
        contact = CallerContact(SystemClock(), RecordingLog())
        received = entry.received
        submitted_ms = trio.current_time() * 1000 + 3000
        doubts = 0
        for _ in range(3000):
            await trio.sleep(0.01)
            if entry.received > received:
                received = entry.received
                contact.record(trio.current_time() * 1000)
            if trio.current_time() * 1000 > submitted_ms:
                doubts += not contact.may_order(submitted_ms)
        assert not doubts
