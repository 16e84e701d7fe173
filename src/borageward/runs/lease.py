"""Extends the lease of the endpoint's runs and reads its lists."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

import trio

from borageward.clock import Clock, Milliseconds
from borageward.failures import Failure
from borageward.runs.endpoint import Endpoint
from borageward.runs.port import EndpointLists, HoldRequest
from borageward.runs.table import RunTable
from borageward.telemetry import EventLog

LEASE_MS = 900.0
_RENEW_INTERVAL_MS = 300.0
_RENEW_TIMEOUT_MS = 400.0
_LOOK_TIMEOUT_MS = 150.0
# The reply to a watch waits this long for an end. While anything runs the wait
# is short, because a watch whose reply is lost hides the ends until it is over.
_WATCH_WAIT_MS = 250
_IDLE_WATCH_WAIT_MS = 1800
_WATCH_GRACE_MS = 130.0
_RETRY_MS = 50.0
# An unreachable endpoint is asked again after this.
_PROBE_INTERVAL_MS = 100.0
# Ends that come close together are read by one watch.
_BATCH_MS = 4.0

# Takes the lists and the time at which they were asked for.
ListsHandler: TypeAlias = Callable[
    [Endpoint, EndpointLists, Milliseconds], None
]
SilenceHandler: TypeAlias = Callable[[Endpoint], None]


class LeaseKeeper:
    """Two loops for one incarnation of the endpoint.

    A watch waits for ends. While anything runs, a second loop renews the
    lease at short intervals, so that one call without an answer does not let
    it expire.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        table: RunTable,
        handler: ListsHandler,
        on_silence: SilenceHandler,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Prepare to keep the lease; ``handler`` takes all lists.

        ``on_silence`` is called repeatedly while the endpoint is unreachable.
        """
        self._endpoint = endpoint
        self._table = table
        self._handler = handler
        self._on_silence = on_silence
        self._clock = clock
        self._log = log

    async def run(self) -> None:
        """Keep the lease until cancelled."""
        await self._take_over()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch)
            nursery.start_soon(self._renew, nursery)

    async def look(self) -> bool:
        """Read the lists at once; false without an answer."""
        return await self._hold(0, _LOOK_TIMEOUT_MS)

    async def _take_over(self) -> None:
        """Learn the clock and void what an earlier guard has ordered."""
        while not self._endpoint.is_ready:
            lists = await self._call(HoldRequest(None, 0, 0, 0), LEASE_MS)
            if lists is None:
                await self._clock.sleep_ms(_RETRY_MS)
                continue
            self._endpoint.take_fence()

    async def _watch(self) -> None:
        # The first lists are asked for without a wait: entries get no session
        # before it is known what runs.
        wait_ms = 0
        while True:
            if await self._hold(wait_ms, wait_ms + _WATCH_GRACE_MS):
                wait_ms = self._watch_wait_ms()
                await self._clock.sleep_ms(_BATCH_MS)
            else:
                wait_ms = min(wait_ms, self._watch_wait_ms())
                await self._clock.sleep_ms(_RETRY_MS)

    def _watch_wait_ms(self) -> int:
        if not self._endpoint.reachable:
            return 0
        if self._table.is_busy():
            return _WATCH_WAIT_MS
        return _IDLE_WATCH_WAIT_MS

    async def _renew(self, nursery: trio.Nursery) -> None:
        while True:
            await self._clock.sleep_ms(self._renew_interval_ms())
            if self._table.is_busy():
                nursery.start_soon(self._hold, 0, _RENEW_TIMEOUT_MS)
            if not self._endpoint.reachable:
                self._on_silence(self._endpoint)

    def _renew_interval_ms(self) -> Milliseconds:
        if self._endpoint.reachable:
            return _RENEW_INTERVAL_MS
        return _PROBE_INTERVAL_MS

    async def _hold(self, wait_ms: int, timeout_ms: Milliseconds) -> bool:
        """Hold once; false without an answer."""
        lease_end_ms = None
        if self._table.is_busy() and self._endpoint.is_fresh:
            lease_end_ms = self._endpoint.grant_lease(LEASE_MS)
        request = HoldRequest(
            lease_end_ms,
            self._endpoint.fence,
            self._endpoint.seen_end,
            wait_ms,
        )
        asked_ms = self._clock.now_ms()
        lists = await self._call(request, timeout_ms)
        if lists is None:
            return False
        if lists.fenced:
            # A guard that was restarted meanwhile has taken over.
            self._log.warning('fence_refused', fence=self._endpoint.fence)
            self._endpoint.take_fence()
            return False
        self._handler(self._endpoint, lists, asked_ms)
        return True

    async def _call(
        self,
        request: HoldRequest,
        timeout_ms: Milliseconds,
    ) -> EndpointLists | None:
        lists = await self._endpoint.port.hold(request, timeout_ms)
        if isinstance(lists, Failure):
            self._note_lost(lists)
            return None
        if self._endpoint.note_answered():
            self._log.event('endpoint_regained')
        self._endpoint.read_clock(lists.clock_ms)
        return lists

    def _note_lost(self, failure: Failure) -> None:
        if self._endpoint.note_unanswered():
            self._log.warning(
                'endpoint_lost',
                reason=failure.reason.value,
                detail=failure.detail,
            )
