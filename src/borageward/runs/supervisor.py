"""Supervision of the runs at one endpoint: starting, settling, stopping."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable

import trio

from borageward.clock import Clock, Milliseconds
from borageward.failures import Failure
from borageward.messages.runs import RunOutcome, RunRef
from borageward.policy.endpoint_speed import FailureShare, SlownessEstimate
from borageward.runs.admission import (
    NO_ROOM_RETRY_MS,
    RunAdmission,
    is_lease_limited,
)
from borageward.runs.endings import (
    INCARNATION_ENDED,
    LEASES_EXPIRED,
    NOT_STARTED,
    START_REFUSED,
    EndProof,
    ListTime,
    ProofKind,
    RunLog,
)
from borageward.runs.endpoint import Endpoint
from borageward.runs.lease import lease_limit_ms
from borageward.runs.orphans import OrphanRuns
from borageward.runs.port import (
    EndedRun,
    EndpointLists,
    StartReply,
    StartRequest,
)
from borageward.runs.progress import is_stalled, projected_ratios
from borageward.runs.table import Run, RunState, RunTable
from borageward.telemetry import EventLog

# Lease of a start request; the endpoint refuses the request after its end.
_START_LEASE_MS = 700.0
# The endpoint is on the same host and answers within a few milliseconds.
_START_TIMEOUT_MS = 120.0
# Allows three stops between the expiry of a session and the end of the lease,
# and 50 ms for the last one to end its run.
_STOP_TIMEOUT_MS = 80.0
# Stops that settle a start are repeated until its lease has ended.
_SETTLE_TIMEOUT_MS = 100.0
_STOP_RETRY_MS = 250.0
# Delay after a failed stop, which may have been refused at once.
_FAILED_STOP_RETRY_MS = 20.0
_WITHDRAWN = 'withdrawn before its start'

# Polls the run lists of the endpoint without waiting.
ListsReader = Callable[[], Awaitable[object]]
# Receives a run that has ended, its outcome and a detail text for people.
EndHandler = Callable[[Run, RunOutcome, str], None]


class RunSupervisor:
    """Starts and stops the runs of one incarnation and tracks their states.

    A run is removed from the table when the endpoint lists its end, or when it
    is certain that it is not running and can no longer start.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        table: RunTable,
        on_end: EndHandler,
        clock: Clock,
        log: EventLog,
        run_log: RunLog,
    ) -> None:
        """Prepare the supervisor; no run starts before ``start``."""
        self._endpoint = endpoint
        self._table = table
        self._on_end = on_end
        self._clock = clock
        self._log = log
        self._run_log = run_log
        self._nursery: trio.Nursery | None = None
        self._read_lists: ListsReader | None = None
        self._speed = SlownessEstimate()
        self._failures = FailureShare()
        self._orphans = OrphanRuns(endpoint, table, clock, run_log)
        self._admission = RunAdmission(endpoint, table, clock)

    @property
    def endpoint(self) -> Endpoint:
        """Return the supervised incarnation."""
        return self._endpoint

    @property
    def slowness(self) -> float:
        """Return the ratio of observed to estimated run time."""
        return self._speed.slowness

    @property
    def failure_share(self) -> float:
        """Return the recent share of failed runs."""
        return self._failures.share

    def start(self, nursery: trio.Nursery, read_lists: ListsReader) -> None:
        """Use the nursery for calls to the endpoint.

        The runs that a former incarnation has handed over are stopped.
        """
        self._nursery = nursery
        self._read_lists = read_lists
        for run in self._table:
            if run.state is RunState.STOPPING:
                self._spawn(self._stop, run)

    def admit(self) -> None:
        """Refuse the waiting runs that cannot start, and start what fits."""
        for run, reason in self._admission.refusals():
            self.end(run, RunOutcome.REFUSED, reason, NOT_STARTED)
        for admitted in self._admission.startable():
            admitted.state = RunState.STARTING
            admitted.requested_ms = self._clock.now_ms()
            self._spawn(self._start, admitted)

    def revoke(self, run: Run, revoked_ms: Milliseconds) -> None:
        """Stop a run that has lost its authority at a time.

        Until the endpoint has confirmed the stop, the lease is not extended
        beyond its usual duration after this time.
        """
        if not run.is_revoked:
            self._log.event(
                'run_revoked',
                job=run.ref.task.job_id,
                task=run.ref.task.index,
                run=run.ref.run,
                entry=run.session,
                state=run.state.value,
            )
        run.revoked_ms = min(run.revoked_ms, revoked_ms)
        self.stop(run)

    def stop(self, run: Run) -> None:
        """Withdraw a waiting run, or stop one that may be active."""
        if run.state is RunState.WAITING:
            self.end(run, RunOutcome.REFUSED, _WITHDRAWN, NOT_STARTED)
        elif run.state is not RunState.STOPPING:
            run.state = RunState.STOPPING
            self._spawn(self._stop, run)

    def end_expired(self) -> None:
        """Report the end of all started runs once their leases have expired.

        An endpoint that is silent may be cut off or frozen; only one that
        refuses connections has crashed.
        """
        if not self._endpoint.leases_expired():
            return
        for run in self._table:
            if run.occupies_endpoint:
                outcome = RunOutcome.LOST
                if self._endpoint.refuses and not self._endpoint.has_left:
                    outcome = crash_outcome(run)
                self.end(
                    run,
                    outcome,
                    'endpoint silent until its leases expired',
                    LEASES_EXPIRED,
                )
                run.state = RunState.STOPPING

    def end_incarnation(self, detail: str, *, same_id: bool) -> None:
        """Report the ends of the runs because the incarnation has ended.

        If the next incarnation has the same id, runs that it may have started
        are kept for its supervisor. That stops them and ends them by lists
        that are requested from now on, under a fence that bars the starts.
        """
        for run in self._table:
            if same_id and run.may_start_in_next_incarnation:
                run.state = RunState.STOPPING
                run.stop_confirmed = False
                run.lapses = math.inf
                run.confirmed_ms = self._clock.now_ms()
            else:
                left = self._endpoint.has_left
                outcome = RunOutcome.LOST if left else crash_outcome(run)
                self.end(run, outcome, detail, INCARNATION_ENDED)

    def observe(
        self,
        lists: EndpointLists,
        requested_ms: Milliseconds,
    ) -> None:
        """Update the runs from lists requested at ``requested_ms``.

        The time is on the guard's clock. If a run that has ended had limited
        the lease, little of it may be left, and it is renewed at once.
        """
        was_limited = is_lease_limited(self._table, self._clock.now_ms())
        born_ms = self._endpoint.status.born_ms
        time = ListTime(requested_ms, lists.clock_ms, born_ms)
        for ended in lists.ended:
            self._handle_end(ended, time)
        listed = {item.ref for item in lists.running}
        for item in lists.running:
            self._handle_running(item.ref, item.percent, time)
        if self._endpoint.record_lists(lists.clock_ms):
            for orphan in self._orphans.observe(listed, time):
                self._spawn(self._orphans.stop, orphan)
        for run in self._table:
            if run.ref not in listed:
                self._check_missing(run, time)
        now_ms = self._clock.now_ms()
        self._speed.project(projected_ratios(self._table, now_ms))
        self._stop_stalled()
        if was_limited and not is_lease_limited(self._table, now_ms):
            self._spawn(self.poll_now)

    def end(
        self,
        run: Run,
        outcome: RunOutcome,
        detail: str,
        proof: EndProof,
    ) -> None:
        """Remove a run from the table and report its end, but only once."""
        if not self._table.remove(run):
            return
        self._run_log.ended(run, outcome, detail, proof, self._endpoint)
        self._log.debug(
            'run_ended',
            job=run.ref.task.job_id,
            step=run.ref.task.step,
            task=run.ref.task.index,
            run=run.ref.run,
            outcome=outcome.value,
            detail=detail,
        )
        if run.is_revoked:
            self._log.event(
                'revoked_run_ended',
                job=run.ref.task.job_id,
                task=run.ref.task.index,
                run=run.ref.run,
                detail=detail,
                after_ms=round(self._clock.now_ms() - run.revoked_ms),
            )
        self._on_end(run, outcome, detail)

    async def poll_now(self) -> None:
        """Renew the lease and read the lists at once."""
        if self._read_lists is not None:
            await self._read_lists()

    def _spawn(
        self, function: Callable[..., Awaitable[None]], *args: object
    ) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(function, *args)

    async def _start(self, run: Run) -> None:
        endpoint = self._endpoint
        endpoint_ms = endpoint.estimated_clock_ms()
        now_ms = self._clock.now_ms()
        if self._table.find(run.ref) is not run:
            return
        if run.authority_end_ms <= now_ms:
            self.end(run, RunOutcome.REFUSED, _WITHDRAWN, NOT_STARTED)
            return
        limit_ms = lease_limit_ms(self._table, now_ms)
        request = StartRequest(
            run.ref,
            run.spec,
            endpoint.grant_lease(min(_START_LEASE_MS, limit_ms), endpoint_ms),
            endpoint.fence,
        )
        run.void_after_ms = request.lease_end_ms
        run.lapses = endpoint.lapses
        self._run_log.start_stage(run, 'sent')
        reply = await endpoint.port.start(request, _START_TIMEOUT_MS)
        if run.state is not RunState.STARTING:
            return
        if isinstance(reply, Failure):
            self._mark_unsettled(run, reply)
            await self.poll_now()
            return
        # A refusal is also returned when the endpoint could not be connected
        # to. The poll finds that out, so that the entry learns with the end of
        # the run whether the endpoint takes other work.
        if reply is StartReply.REFUSED:
            await self.poll_now()
        else:
            self._endpoint.record_start_reply()
        if run.state is not RunState.STARTING:
            return
        if reply is StartReply.STARTED:
            self._run_log.start_stage(run, 'confirmed')
            _mark_running(run, self._clock.now_ms())
        elif reply is StartReply.NO_ROOM:
            await self._wait_for_room(run)
        else:
            outcome = RunOutcome.REFUSED
            if reply is StartReply.OUTRUN:
                outcome = RunOutcome.OUTRUN
            self.end(run, outcome, reply.value, START_REFUSED)

    def _mark_unsettled(self, run: Run, failure: Failure) -> None:
        if self._endpoint.record_failed_call():
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
        run.requested_ms = self._clock.now_ms()

    async def _wait_for_room(self, run: Run) -> None:
        run.state = RunState.WAITING
        self._admission.record_no_room()
        await self._clock.sleep_ms(NO_ROOM_RETRY_MS)
        self.admit()

    async def _settle(self, run: Run) -> None:
        """Ensure that an unanswered start request can no longer take effect.

        A confirmed stop ensures it. Without one, the endpoint refuses the
        request once its lease has ended on the endpoint's clock.
        """
        while run.state is RunState.UNSETTLED:
            failure = await self._endpoint.port.stop(
                run.ref,
                self._endpoint.fence,
                _SETTLE_TIMEOUT_MS,
            )
            passed = self._endpoint.estimated_clock_ms() > run.void_after_ms
            if failure is None or passed:
                run.state = RunState.STOPPING
                run.confirmed_ms = self._clock.now_ms()
                run.stop_confirmed = failure is None
                await self.poll_now()
            else:
                await self._clock.sleep_ms(_FAILED_STOP_RETRY_MS)
        if run.state is RunState.STOPPING and not run.stop_confirmed:
            await self._stop(run)

    async def _stop(self, run: Run) -> None:
        while self._table.find(run.ref) is run:
            failure = await self._endpoint.port.stop(
                run.ref,
                self._endpoint.fence,
                _STOP_TIMEOUT_MS,
            )
            if failure is not None:
                if _is_void(run, self._endpoint):
                    # Lists that lack the run prove its end from now on.
                    run.confirmed_ms = self._clock.now_ms()
                await self._clock.sleep_ms(_FAILED_STOP_RETRY_MS)
                continue
            if not run.stop_confirmed:
                await self._confirm_stop(run)
            await self._clock.sleep_ms(_STOP_RETRY_MS)

    async def _confirm_stop(self, run: Run) -> None:
        """Record a confirmed stop, after which lists prove the end of a run.

        They are read at once if the run limits the lease.
        """
        now_ms = self._clock.now_ms()
        run.stop_confirmed = True
        run.confirmed_ms = now_ms
        if is_lease_limited(self._table, now_ms):
            await self.poll_now()

    def _handle_end(self, ended: EndedRun, time: ListTime) -> None:
        if ended.number <= self._endpoint.seen_end:
            return
        self._endpoint.seen_end = ended.number
        run = self._table.find(ended.ref)
        if run is None:
            return
        now_ms = self._clock.now_ms()
        is_timed = run.state is RunState.RUNNING
        if ended.outcome is RunOutcome.DONE and is_timed:
            self._speed.observe(now_ms - run.confirmed_ms, run.estimate_ms)
        if ended.outcome in {RunOutcome.DONE, RunOutcome.FAILED}:
            failed = ended.outcome is RunOutcome.FAILED
            self._failures.observe(run.ref.task.job_id, failed=failed)
        proof = EndProof(ProofKind.LISTED_END, time)
        self.end(run, ended.outcome, ended.detail, proof)

    def _handle_running(
        self,
        ref: RunRef,
        percent: float,
        time: ListTime,
    ) -> None:
        run = self._table.find(ref)
        if run is None:
            return
        run.listed = True
        run.listed_ms = time.requested_ms
        if run.state in {RunState.STARTING, RunState.UNSETTLED}:
            self._run_log.start_stage(run, 'listed')
            _mark_running(run, self._clock.now_ms())
        self._run_log.check_stop(run, time, self._endpoint)
        if percent > run.percent:
            run.percent = percent
            run.progress_ms = self._clock.now_ms()

    def _check_missing(self, run: Run, time: ListTime) -> None:
        """End or settle a run missing from lists that are newer than its state.

        Lists requested before the last change of the run prove nothing.
        """
        if run.state is RunState.UNSETTLED:
            if run.requested_ms <= time.requested_ms and not run.settling:
                run.settling = True
                self._spawn(self._settle, run)
            return
        if run.state not in {RunState.RUNNING, RunState.STOPPING}:
            return
        if run.confirmed_ms and run.confirmed_ms <= time.requested_ms:
            proof = EndProof(ProofKind.MISSING, time)
            self.end(run, RunOutcome.LOST, 'run not listed by endpoint', proof)

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


def _is_void(run: Run, endpoint: Endpoint) -> bool:
    """Return whether a start that was not confirmed can take no effect.

    The endpoint refuses the request once its lease has ended.
    """
    if run.confirmed_ms or not run.void_after_ms:
        return False
    return endpoint.estimated_clock_ms() > run.void_after_ms


def _mark_running(run: Run, now_ms: Milliseconds) -> None:
    run.state = RunState.RUNNING
    run.confirmed_ms = now_ms
    run.progress_ms = now_ms


def crash_outcome(run: Run) -> RunOutcome:
    """Return the outcome of a run whose endpoint has crashed.

    Only a run whose start was confirmed is known to have been at work.
    """
    if run.state is RunState.RUNNING:
        return RunOutcome.CRASHED
    return RunOutcome.LOST
