"""Lease renewal for the runs at an endpoint, and polling of its run lists."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

import trio

from borageward.clock import Clock, Milliseconds
from borageward.failures import Failure, FailureReason
from borageward.runs.endpoint import Endpoint
from borageward.runs.port import EndpointLists, HoldRequest
from borageward.runs.table import RunTable
from borageward.telemetry import EventLog

_RENEW_INTERVAL_MS = 300.0
_RENEW_TIMEOUT_MS = 400.0
_POLL_NOW_TIMEOUT_MS = 150.0
# The endpoint holds the reply to a poll this long until a run ends. The wait
# is short while any run is active, because run ends stay unnoticed until a poll
# whose reply was lost has timed out.
_POLL_WAIT_MS = 250
_IDLE_POLL_WAIT_MS = 1800
# Added to the wait of a poll for its time-out.
_POLL_GRACE_MS = 130.0
_RETRY_MS = 50.0
# Interval of calls to an unreachable endpoint.
_PROBE_INTERVAL_MS = 100.0
# Delay between polls, so that runs that end at nearly the same time are
# reported in one reply.
_BATCH_DELAY_MS = 4.0

# Receives the lists and the guard's time when they were requested.
ListsHandler: TypeAlias = Callable[
    [Endpoint, EndpointLists, Milliseconds], None
]
UnreachableHandler: TypeAlias = Callable[[Endpoint], None]
# Receives the start time of the incarnation that has replied instead.
RestartHandler: TypeAlias = Callable[[Endpoint, int], None]


def lease_limit_ms(table: RunTable, now_ms: Milliseconds) -> Milliseconds:
    """Return the longest lease that may be granted, which may be negative.

    The lease applies to everything at the endpoint, so it ends by the time when
    the first of its runs must have ended, unless that run is no longer listed.
    Entries start the task elsewhere after this time.
    """
    return min(table.limits.lease_ms, table.run_limit_ms() - now_ms)


class LeaseRenewer:
    """Renews the lease and polls the run lists of one endpoint incarnation.

    One loop long-polls for run ends. While any run is active, a second loop
    renews the lease at short intervals, so that a single lost call does not
    let it expire.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        table: RunTable,
        on_lists: ListsHandler,
        on_unreachable: UnreachableHandler,
        on_restart: RestartHandler,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Prepare the loops; ``on_lists`` is called with every reply.

        ``on_unreachable`` is called repeatedly while the endpoint is
        unreachable, ``on_restart`` when another incarnation has replied.
        """
        self._endpoint = endpoint
        self._table = table
        self._on_lists = on_lists
        self._on_unreachable = on_unreachable
        self._on_restart = on_restart
        self._clock = clock
        self._log = log

    async def run(self) -> None:
        """Renew the lease and poll the lists until cancelled."""
        await self._acquire_fence()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_ends)
            nursery.start_soon(self._renew_lease, nursery)

    async def poll_now(self) -> bool:
        """Poll the lists without a wait; return whether a reply was handled."""
        return await self._hold_once(0, _POLL_NOW_TIMEOUT_MS)

    async def _acquire_fence(self) -> None:
        """Read the endpoint's clock and set a fence above all former ones.

        Requests of an earlier guard or to an earlier incarnation are rejected
        once the endpoint has received the new fence.
        """
        while not self._endpoint.is_ready:
            lists = await self._call_hold(
                HoldRequest(None, 0, 0, 0), _RENEW_TIMEOUT_MS
            )
            if lists is None:
                await self._clock.sleep_ms(_RETRY_MS)
                continue
            self._endpoint.advance_fence()

    async def _poll_ends(self) -> None:
        # The first poll does not wait: sessions open only once the running
        # tasks are known.
        wait_ms = 0
        while True:
            if await self._hold_once(wait_ms, wait_ms + _POLL_GRACE_MS):
                wait_ms = self._poll_wait_ms()
                await self._clock.sleep_ms(_BATCH_DELAY_MS)
            else:
                wait_ms = min(wait_ms, self._poll_wait_ms())
                await self._clock.sleep_ms(_RETRY_MS)

    def _poll_wait_ms(self) -> int:
        if not self._endpoint.reachable:
            return 0
        if self._table.is_busy():
            return _POLL_WAIT_MS
        return _IDLE_POLL_WAIT_MS

    async def _renew_lease(self, nursery: trio.Nursery) -> None:
        while True:
            await self._clock.sleep_ms(self._renew_interval_ms())
            if self._table.is_busy():
                nursery.start_soon(self._hold_once, 0, _RENEW_TIMEOUT_MS)
            if not self._endpoint.reachable:
                self._on_unreachable(self._endpoint)

    def _renew_interval_ms(self) -> Milliseconds:
        if self._endpoint.reachable:
            return _RENEW_INTERVAL_MS
        return _PROBE_INTERVAL_MS

    async def _hold_once(self, wait_ms: int, timeout_ms: Milliseconds) -> bool:
        """Send one hold request; return whether its reply was handled.

        The reply of a fenced request is not handled: the fence is raised for
        the next one.
        """
        request = HoldRequest(
            self._grant_lease(),
            self._endpoint.fence,
            self._endpoint.seen_end,
            wait_ms,
        )
        requested_ms = self._clock.now_ms()
        lists = await self._call_hold(request, timeout_ms)
        if lists is None:
            return False
        if lists.fenced:
            # Another guard process has used a higher fence in the meantime.
            self._log.warning('fence_refused', fence=self._endpoint.fence)
            self._endpoint.advance_fence()
            return False
        self._endpoint.record_accepted_fence()
        self._on_lists(self._endpoint, lists, requested_ms)
        return True

    def _grant_lease(self) -> int | None:
        """Return the end of a new lease, or None if none may be granted."""
        endpoint_ms = self._endpoint.estimated_clock_ms()
        lease_ms = lease_limit_ms(self._table, self._clock.now_ms())
        if lease_ms <= 0 or not self._endpoint.answered_recently:
            return None
        if not self._table.is_busy():
            return None
        return self._endpoint.grant_lease(lease_ms, endpoint_ms)

    async def _call_hold(
        self,
        request: HoldRequest,
        timeout_ms: Milliseconds,
    ) -> EndpointLists | None:
        lists = await self._endpoint.port.hold(request, timeout_ms)
        if isinstance(lists, Failure):
            self._record_failed_call(lists)
            return None
        if not self._endpoint.is_incarnation(lists.born_ms):
            self._on_restart(self._endpoint, lists.born_ms)
            return None
        self._endpoint.record_born(lists.born_ms)
        if self._endpoint.record_answer():
            self._log.event('endpoint_regained')
        self._endpoint.record_clock(lists.clock_ms)
        return lists

    def _record_failed_call(self, failure: Failure) -> None:
        refused = failure.reason is FailureReason.RUNNER_UNREACHABLE
        if self._endpoint.record_failed_call(refused=refused):
            self._log.warning(
                'endpoint_lost',
                reason=failure.reason.value,
                detail=failure.detail,
            )
            self._on_unreachable(self._endpoint)
