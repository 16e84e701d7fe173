"""Stand-in for an endpoint that runs tasks under a lease.

It follows the published contract. A request with an outdated fence, or for a
run that a later run of the task has superseded, is refused. Ended runs are
listed until they are acknowledged, and all runs end when the lease expires.
Tests set the faults.
"""

from __future__ import annotations

import attrs

from borageward.clock import Clock, Milliseconds
from borageward.failures import Failure, FailureReason
from borageward.messages.runs import Demand, RunOutcome, RunRef, TaskKey
from borageward.runs import (
    EndedRun,
    EndpointLists,
    EndpointStatus,
    HoldRequest,
    ListedRun,
    StartReply,
    StartRequest,
)

_POLL_MS = 2.0
_FULL_PERCENT = 100.0
_MAX_LEASE_MS = 1000
# The endpoint's clock when the stand-in begins. A restarted one begins at zero.
_UPTIME_MS = 480_000


@attrs.define(slots=True)
class ActiveRun:
    """A run in progress, with the times of its start and its planned end.

    ``fails`` makes it end as failed, ``hangs`` keeps it from ending by itself.
    """

    ref: RunRef
    started_ms: Milliseconds
    ends_ms: Milliseconds
    fails: bool = False
    hangs: bool = False


class EndpointStandIn:
    """Implements ``EndpointPort`` over a model of an endpoint.

    ``unanswered_starts``, ``unanswered_stops`` and ``unanswered_holds`` are
    the numbers of coming calls that time out without a reply. Such a stop or
    hold has no effect; such a start is executed if
    ``apply_unanswered_starts`` is set, and otherwise by ``apply_late_starts``.
    ``start_again`` begins another incarnation under the same id.

    While ``silent`` is set, the other calls time out without an effect as well.
    While ``down`` is set, connections are refused as after a crash. ``failing``
    and ``hanging`` apply to runs that start while they are set.
    """

    def __init__(self, clock: Clock, work_ms: Milliseconds = 100) -> None:
        """Start with no runs; each run takes ``work_ms``."""
        self.clock = clock
        self.work_ms = work_ms
        self.slots = 4
        self.running: dict[TaskKey, ActiveRun] = {}
        self.finished: list[EndedRun] = []
        self.starts: list[RunRef] = []
        self.failing = False
        self.hanging = False
        self.unanswered_starts = 0
        self.unanswered_stops = 0
        self.unanswered_holds = 0
        self.apply_unanswered_starts = True
        self.silent = False
        self._born_ms = 1
        self._clock_origin_ms: Milliseconds = -_UPTIME_MS
        self._late_starts: list[StartRequest] = []
        self.down = False
        self._fence = 0
        self._lease_ms: Milliseconds = 0
        self._last_end_number = 0
        self._highest_run: dict[TaskKey, int] = {}

    @property
    def born_ms(self) -> int:
        """Return the start time of the current incarnation."""
        return self._born_ms

    @property
    def lease_expired(self) -> bool:
        """Return whether the lease is over, so that no run may continue."""
        return self._now_ms() > self._lease_ms

    def start_again(self) -> None:
        """Begin an incarnation that knows nothing of the former one."""
        self._born_ms += 1
        self._clock_origin_ms = self.clock.now_ms()
        self.running.clear()
        self.finished.clear()
        self._fence = 0
        self._lease_ms = 0
        self._last_end_number = 0
        self._highest_run.clear()

    def apply_late_starts(self) -> None:
        """Execute the unanswered starts that were not executed yet."""
        late = self._late_starts
        self._late_starts = []
        for request in late:
            self._start(request)

    def status(self, **changes: object) -> EndpointStatus:
        """Return the status that the endpoint reports, with changed fields."""
        status = EndpointStatus(
            'endpoint-1',
            self._born_ms,
            '127.0.0.1:1',
            'dispatch',
            Demand(self.slots * 1000, self.slots * 1000),
            ('a', 'rack-1'),
            draining=False,
            sequence=1,
        )
        return attrs.evolve(status, **changes)

    async def start(
        self,
        request: StartRequest,
        timeout_ms: Milliseconds,
    ) -> StartReply | Failure:
        """Start a run and return the reply, or ``TIMEOUT`` without one."""
        if self.down:
            return StartReply.REFUSED
        self._end_due_runs()
        if self.unanswered_starts:
            self.unanswered_starts -= 1
            if self.apply_unanswered_starts:
                self._start(request)
            else:
                self._late_starts.append(request)
            await self.clock.sleep_ms(timeout_ms)
            return _timeout()
        await self._delay_reply(timeout_ms)
        return _timeout() if self.silent else self._start(request)

    async def stop(
        self,
        ref: RunRef,
        fence: int,
        timeout_ms: Milliseconds,
    ) -> Failure | None:
        """Stop a run and bar it from starting later.

        Earlier runs of the task are stopped and barred with it. Returns
        ``TIMEOUT`` without a reply and ``INVALID_REQUEST`` for an outdated
        fence.
        """
        if self.down:
            return _unreachable()
        if self.unanswered_stops:
            self.unanswered_stops -= 1
            await self.clock.sleep_ms(timeout_ms)
            return _timeout()
        await self._delay_reply(timeout_ms)
        if self.silent:
            return _timeout()
        if not self._accept_fence(fence):
            return Failure(FailureReason.INVALID_REQUEST, 'outdated fence')
        self._end_due_runs()
        self._stop(ref)
        return None

    async def hold(
        self,
        request: HoldRequest,
        timeout_ms: Milliseconds,
    ) -> EndpointLists | Failure:
        """Extend the lease and return the active and the ended runs.

        Waits up to ``wait_ms`` of the request for an ended run. Returns
        ``TIMEOUT`` without a reply.
        """
        if self.down:
            return _unreachable()
        await self._delay_reply(timeout_ms)
        if self.silent:
            return _timeout()
        if self.unanswered_holds:
            self.unanswered_holds -= 1
            await self.clock.sleep_ms(timeout_ms)
            return _timeout()
        self._end_due_runs()
        if not self._accept_fence(request.fence):
            return EndpointLists(
                self._now_ms(),
                fenced=True,
                born_ms=self._born_ms,
            )
        if request.lease_end_ms is not None:
            self._extend_lease(request.lease_end_ms)
        self._acknowledge(request.seen_end)
        return await self._wait_for_end(request.wait_ms)

    async def close(self) -> None:
        """Do nothing, as there is no connection to close."""

    async def _wait_for_end(
        self,
        wait_ms: Milliseconds,
    ) -> EndpointLists | Failure:
        """Return the lists once a run has ended, or after ``wait_ms``."""
        born_ms = self._born_ms
        waited_ms: Milliseconds = 0
        while waited_ms < wait_ms and not self.finished:
            await self.clock.sleep_ms(_POLL_MS)
            if self.down:
                return Failure(FailureReason.LINK_BROKEN, 'endpoint crashed')
            if born_ms != self._born_ms:
                break
            waited_ms += _POLL_MS
            self._end_due_runs()
        is_broken = self.silent or born_ms != self._born_ms
        return _timeout() if is_broken else self._build_lists()

    def _stop(self, ref: RunRef) -> None:
        highest_run = self._highest_run.get(ref.task, 0)
        self._highest_run[ref.task] = max(highest_run, ref.run)
        active = self.running.get(ref.task)
        if active is not None and active.ref.run <= ref.run:
            self._finish(active, RunOutcome.LOST, 'stopped')

    def _extend_lease(self, lease_end_ms: int) -> None:
        longest_ms = self._now_ms() + _MAX_LEASE_MS
        self._lease_ms = max(self._lease_ms, min(lease_end_ms, longest_ms))

    def _accept_fence(self, fence: int) -> bool:
        if fence < self._fence:
            return False
        self._fence = fence
        return True

    def _start(self, request: StartRequest) -> StartReply:
        if not self._accept_fence(request.fence):
            return StartReply.REFUSED
        if request.lease_end_ms < self._now_ms():
            return StartReply.REFUSED
        self._extend_lease(request.lease_end_ms)
        task = request.ref.task
        active = self.running.get(task)
        if active is not None:
            same_run = active.ref == request.ref
            return StartReply.STARTED if same_run else StartReply.OUTRUN
        if request.ref.run <= self._highest_run.get(task, 0):
            return StartReply.OUTRUN
        if len(self.running) >= self.slots:
            return StartReply.NO_ROOM
        now_ms = self.clock.now_ms()
        self._highest_run[task] = request.ref.run
        self.starts.append(request.ref)
        self.running[task] = ActiveRun(
            request.ref,
            now_ms,
            now_ms + self.work_ms,
            self.failing,
            self.hanging,
        )
        return StartReply.STARTED

    def _end_due_runs(self) -> None:
        now_ms = self.clock.now_ms()
        for active in tuple(self.running.values()):
            outcome = _outcome_at(active, now_ms)
            if self.lease_expired:
                self._finish(active, RunOutcome.LOST, 'lease expired')
            elif outcome is not None:
                self._finish(active, outcome, outcome.value)

    def _finish(
        self, active: ActiveRun, outcome: RunOutcome, detail: str
    ) -> None:
        self.running.pop(active.ref.task)
        self._last_end_number += 1
        self.finished.append(
            EndedRun(self._last_end_number, active.ref, outcome, detail),
        )

    def _acknowledge(self, seen_end: int) -> None:
        self.finished = [end for end in self.finished if end.number > seen_end]

    def _build_lists(self) -> EndpointLists:
        running = tuple(
            ListedRun(active.ref, self._percent_done(active))
            for active in self.running.values()
        )
        return EndpointLists(
            self._now_ms(),
            running,
            tuple(self.finished),
            born_ms=self._born_ms,
        )

    def _percent_done(self, active: ActiveRun) -> float:
        if active.hangs:
            return 0
        done_ms = self.clock.now_ms() - active.started_ms
        return min(
            _FULL_PERCENT,
            _FULL_PERCENT * done_ms / (active.ends_ms - active.started_ms),
        )

    def _now_ms(self) -> int:
        return int(self.clock.now_ms() - self._clock_origin_ms)

    async def _delay_reply(self, timeout_ms: Milliseconds) -> None:
        await self.clock.sleep_ms(timeout_ms if self.silent else 1)


def _outcome_at(active: ActiveRun, now_ms: Milliseconds) -> RunOutcome | None:
    """Return the outcome of a run that has ended by a time, else ``None``."""
    if active.hangs or now_ms < active.ends_ms:
        return None
    return RunOutcome.FAILED if active.fails else RunOutcome.DONE


def _timeout() -> Failure:
    return Failure(FailureReason.TIMEOUT, 'no reply')


def _unreachable() -> Failure:
    return Failure(FailureReason.RUNNER_UNREACHABLE, 'connection refused')
