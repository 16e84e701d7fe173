"""Starts, settles and stops the runs at one endpoint."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from borageward.clock import Clock, Milliseconds
from borageward.failures import Failure
from borageward.messages.runs import RunOutcome, RunRef
from borageward.policy.endpoint_speed import FailureShare, SlownessEstimate
from borageward.runs.endpoint import Endpoint
from borageward.runs.port import (
    EndedRun,
    EndpointLists,
    StartReply,
    StartRequest,
)
from borageward.runs.progress import is_stalled, projected_ratios
from borageward.runs.table import Run, RunState, RunTable
from borageward.telemetry import EventLog

# An order to start carries this lease, after which a late one is void.
_START_LEASE_MS = 700.0
# The endpoint is on this host and answers within a few milliseconds.
_START_TIMEOUT_MS = 120.0
_STOP_TIMEOUT_MS = 150.0
_STOP_RETRY_MS = 250.0
# An endpoint without the room that it should have is asked again after this.
_FULL_RETRY_MS = 20.0

# Reads the lists of the endpoint at once.
ListsReader = Callable[[], Awaitable[object]]
# Takes a run, its outcome and a detail for a person.
EndHandler = Callable[[Run, RunOutcome, str], None]


class RunSupervisor:
    """Moves the runs of one incarnation through their states.

    A run leaves the table when its end is listed, or when it is proved that it
    neither runs nor can start any more.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        table: RunTable,
        on_end: EndHandler,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Prepare to supervise; nothing starts before ``start``."""
        self._endpoint = endpoint
        self._table = table
        self._on_end = on_end
        self._clock = clock
        self._log = log
        self._nursery: trio.Nursery | None = None
        self._read_lists: ListsReader | None = None
        self._speed = SlownessEstimate()
        self._failures = FailureShare()
        self._stopped_orphans: set[RunRef] = set()
        self._full_until_ms: Milliseconds = 0

    @property
    def endpoint(self) -> Endpoint:
        """Return the incarnation."""
        return self._endpoint

    @property
    def slowness(self) -> float:
        """Return the observed over the estimated run time."""
        return self._speed.slowness

    @property
    def failing(self) -> float:
        """Return the recent share of failed runs."""
        return self._failures.share

    def start(self, nursery: trio.Nursery, read_lists: ListsReader) -> None:
        """Send orders by tasks in the nursery."""
        self._nursery = nursery
        self._read_lists = read_lists

    def admit(self) -> None:
        """Start waiting runs in the order of their rank while there is room."""
        waiting = self._table.waiting()
        if not self._endpoint.accepting:
            for refused in waiting:
                self.end(refused, RunOutcome.REFUSED, 'not accepting')
            return
        if self._clock.now_ms() < self._full_until_ms:
            return
        room = self._endpoint.status.capacity.minus(self._table.occupied())
        for run in waiting:
            if not run.demand.fits(room):
                return
            room = room.minus(run.demand)
            run.state = RunState.STARTING
            run.asked_ms = self._clock.now_ms()
            self._spawn(self._start, run)

    def stop(self, run: Run) -> None:
        """Withdraw a waiting run, or stop one that may be at work."""
        if run.state is RunState.WAITING:
            self.end(run, RunOutcome.REFUSED, 'withdrawn')
        elif run.state is not RunState.STOPPING:
            run.state = RunState.STOPPING
            self._spawn(self._stop, run)

    def end_lapsed(self) -> None:
        """End all runs once the leases of an unreachable endpoint passed."""
        if not self._endpoint.has_lapsed():
            return
        for run in self._table:
            if run.takes_room:
                run.state = RunState.STOPPING
                self.end(run, RunOutcome.LOST, 'endpoint silent')

    def observe(
        self,
        lists: EndpointLists,
        asked_ms: Milliseconds,
    ) -> None:
        """Take the lists of a reply that was asked for at a time."""
        for ended in lists.ended:
            self._take_end(ended)
        listed = {item.ref for item in lists.running}
        for item in lists.running:
            self._take_running(item.ref, item.percent)
        for run in self._table:
            if run.ref not in listed:
                self._check_missing(run, asked_ms)
        self._speed.project(projected_ratios(self._table, self._clock.now_ms()))
        self._stop_stalled()

    def end(self, run: Run, outcome: RunOutcome, detail: str) -> None:
        """Remove a run and report its end."""
        self._table.remove(run)
        self._log.debug(
            'run_ended',
            job=run.ref.task.job_id,
            step=run.ref.task.step,
            task=run.ref.task.index,
            run=run.ref.run,
            outcome=outcome.value,
            detail=detail,
        )
        self._on_end(run, outcome, detail)

    def _spawn(
        self, order: Callable[..., Awaitable[None]], *args: object
    ) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(order, *args)

    async def _start(self, run: Run) -> None:
        endpoint = self._endpoint
        request = StartRequest(
            run.ref,
            run.spec,
            endpoint.grant_lease(_START_LEASE_MS),
            endpoint.fence,
        )
        reply = await endpoint.port.start(request, _START_TIMEOUT_MS)
        if run.state is not RunState.STARTING:
            return
        if isinstance(reply, Failure):
            run.void_after_ms = request.lease_end_ms
            self._note_unanswered(run, reply)
            await self._look()
            return
        # A refusal may stand for an endpoint that nothing could be sent to.
        if reply is not StartReply.REFUSED:
            self._endpoint.note_answered()
        if reply is StartReply.STARTED:
            self._confirm(run)
        elif reply is StartReply.NO_ROOM:
            await self._wait_for_room(run)
        else:
            outcome = RunOutcome.REFUSED
            if reply is StartReply.OUTRUN:
                outcome = RunOutcome.OUTRUN
            self.end(run, outcome, reply.value)

    def _note_unanswered(self, run: Run, failure: Failure) -> None:
        if self._endpoint.note_unanswered():
            self._log.warning(
                'endpoint_lost',
                reason=failure.reason.value,
                detail=failure.detail,
            )
        self._log.warning(
            'start_unanswered',
            job=run.ref.task.job_id,
            task=run.ref.task.index,
            run=run.ref.run,
            reason=failure.reason.value,
        )
        run.state = RunState.UNSETTLED
        run.asked_ms = self._clock.now_ms()

    async def _wait_for_room(self, run: Run) -> None:
        run.state = RunState.WAITING
        self._full_until_ms = self._clock.now_ms() + _FULL_RETRY_MS
        await self._clock.sleep_ms(_FULL_RETRY_MS)
        self.admit()

    async def _settle(self, run: Run) -> None:
        """Make sure that an unanswered order is not carried out any more.

        A stop does so; without an answer to that, the order is void once its
        lease has passed on the endpoint's clock.
        """
        while run.state is RunState.UNSETTLED:
            failure = await self._endpoint.port.stop(
                run.ref,
                self._endpoint.fence,
                _STOP_TIMEOUT_MS,
            )
            passed = self._endpoint.estimated_ms() > run.void_after_ms
            if failure is None or passed:
                run.state = RunState.STOPPING
                run.confirmed_ms = self._clock.now_ms()
                await self._look()

    async def _look(self) -> None:
        if self._read_lists is not None:
            await self._read_lists()

    async def _stop(self, run: Run) -> None:
        confirmed = False
        while self._table.find(run.ref) is run:
            failure = await self._endpoint.port.stop(
                run.ref,
                self._endpoint.fence,
                _STOP_TIMEOUT_MS,
            )
            if failure is not None:
                continue
            if not confirmed:
                confirmed = True
                run.confirmed_ms = self._clock.now_ms()
            await self._clock.sleep_ms(_STOP_RETRY_MS)

    def _confirm(self, run: Run) -> None:
        run.state = RunState.RUNNING
        run.confirmed_ms = self._clock.now_ms()
        run.progress_ms = run.confirmed_ms

    def _take_end(self, ended: EndedRun) -> None:
        if ended.number <= self._endpoint.seen_end:
            return
        self._endpoint.seen_end = ended.number
        run = self._table.find(ended.ref)
        if run is None:
            return
        now_ms = self._clock.now_ms()
        if ended.outcome is RunOutcome.DONE and run.confirmed_ms:
            self._speed.observe(now_ms - run.confirmed_ms, run.estimate_ms)
        if ended.outcome in {RunOutcome.DONE, RunOutcome.FAILED}:
            failed = ended.outcome is RunOutcome.FAILED
            self._failures.observe(run.ref.task.job_id, failed=failed)
        self.end(run, ended.outcome, ended.detail)

    def _take_running(self, ref: RunRef, percent: float) -> None:
        run = self._table.find(ref)
        if run is None:
            self._stop_orphan(ref)
            return
        if run.state in {RunState.STARTING, RunState.UNSETTLED}:
            self._confirm(run)
        if percent > run.percent:
            run.percent = percent
            run.progress_ms = self._clock.now_ms()

    def _check_missing(self, run: Run, asked_ms: Milliseconds) -> None:
        """End or settle a run that newer lists do not contain."""
        if run.state is RunState.UNSETTLED:
            if run.asked_ms <= asked_ms and not run.settling:
                run.settling = True
                self._spawn(self._settle, run)
            return
        if run.state not in {RunState.RUNNING, RunState.STOPPING}:
            return
        if run.confirmed_ms and run.confirmed_ms <= asked_ms:
            self.end(run, RunOutcome.LOST, 'not listed')

    def _stop_orphan(self, ref: RunRef) -> None:
        """Stop a run that no session of this guard has asked for."""
        if ref in self._stopped_orphans:
            return
        self._stopped_orphans.add(ref)
        self._log.event('orphan_stopped', job=ref.task.job_id, run=ref.run)
        self._spawn(self._stop_once, ref)

    async def _stop_once(self, ref: RunRef) -> None:
        await self._endpoint.port.stop(
            ref,
            self._endpoint.fence,
            _STOP_TIMEOUT_MS,
        )
        self._stopped_orphans.discard(ref)

    def _stop_stalled(self) -> None:
        now_ms = self._clock.now_ms()
        for run in self._table:
            if is_stalled(run, now_ms):
                self._log.warning(
                    'run_stalled',
                    job=run.ref.task.job_id,
                    task=run.ref.task.index,
                    percent=run.percent,
                )
                self._failures.observe(run.ref.task.job_id, failed=True)
                self.stop(run)
