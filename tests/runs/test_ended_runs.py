"""Runs whose end is found twice, and lists that overtake each other."""

from __future__ import annotations

import trio

from borageward.clock import SystemClock
from borageward.runs.port import StartReply
from standins.endpoint import EndpointStandIn
from tests.runs.guardharness import ref
from tests.runs.test_time_lines import open_guard

# The reply to the first start arrives this long after the start.
LATE_S = 0.05


class LateRefusal(EndpointStandIn):
    """Endpoint whose first start runs, and is refused when it has ended."""

    async def start(self, request, timeout_ms):
        """Return the reply; that to the first start comes late."""
        reply = await super().start(request, timeout_ms)
        if request.ref != ref(0):
            return reply
        await trio.sleep(LATE_S)
        return StartReply.OUTRUN


async def test_late_start_reply_ends_no_other_run_of_the_task(autojump_clock):
    """Guards against a run that works on although the guard has dropped it.

    A list has ended the first run of the task before the reply to its start
    arrives, and the entry has ordered the next one here.
    """
    endpoint = LateRefusal(SystemClock(), work_ms=10)
    async with trio.open_nursery() as nursery:
        entry = await open_guard(endpoint, nursery)
        await entry.start(0)
        while not entry.ends:
            await trio.sleep(0.001)
        endpoint.work_ms = 200
        await entry.start(0, run=2)
        await trio.sleep(1)
        assert [end.ref for end in entry.ends] == [ref(0), ref(0, 2)]
        assert entry.outcomes()[(0, 2)] == 'done'
        nursery.cancel_scope.cancel()


class OvertakenLists(EndpointStandIn):
    """Endpoint of which one list arrives ``LATE_S`` after it was composed.

    It is the next list without a wait while ``delays_next`` is set. ``stopped``
    holds the runs that a guard has stopped.
    """

    def __init__(self, *arguments, **options):
        """Start without stopped runs."""
        super().__init__(*arguments, **options)
        self.delays_next = False
        self.stopped = []

    async def hold(self, request, timeout_ms):
        """Return the lists."""
        lists = await super().hold(request, timeout_ms)
        if self.delays_next and not request.wait_ms:
            self.delays_next = False
            await trio.sleep(LATE_S)
        return lists

    async def stop(self, ref, fence, timeout_ms):
        """Record the stop and carry it out."""
        self.stopped.append(ref)
        return await super().stop(ref, fence, timeout_ms)


async def test_run_that_has_ended_is_not_stopped_because_of_an_older_list(
    autojump_clock,
):
    """Guards against lists that are believed although newer ones are known.

    The run has ended when a list arrives that was composed before its end. The
    guard took it for a run that nobody has ordered.
    """
    endpoint = OvertakenLists(SystemClock(), work_ms=320)
    async with trio.open_nursery() as nursery:
        entry = await open_guard(endpoint, nursery)
        await entry.start(0)
        endpoint.delays_next = True
        await trio.sleep(1)
        assert not endpoint.delays_next
        assert entry.outcomes() == {(0, 1): 'done'}
        assert not endpoint.stopped
        nursery.cancel_scope.cancel()
