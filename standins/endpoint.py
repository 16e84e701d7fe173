"""Stand-in of an endpoint that runs tasks under a lease.

It follows the published contract: a run works until its time is over, a fence
or a higher run refuses an order, ends are listed until they are acknowledged,
and everything ends when the lease lapses. Faults are set by a test.
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
_WHOLE = 100.0


@attrs.define(slots=True)
class Work:
    """One run at work."""

    ref: RunRef
    started_ms: Milliseconds
    ends_ms: Milliseconds
    fails: bool = False
    hangs: bool = False


class EndpointStandIn:
    """The product's ``EndpointPort`` over a model of the endpoint.

    ``mute_starts``, ``mute_stops`` and ``mute_holds`` count calls whose answer
    is lost; ``apply_unanswered_starts`` tells whether they are carried out.
    """

    def __init__(self, clock: Clock, work_ms: Milliseconds = 100) -> None:
        """Start without runs; each task works for ``work_ms``."""
        self.clock = clock
        self.work_ms = work_ms
        self.slots = 4
        self.running: dict[TaskKey, Work] = {}
        self.finished: list[EndedRun] = []
        self.starts: list[RunRef] = []
        self.failing = False
        self.hanging = False
        self.mute_starts = 0
        self.mute_stops = 0
        self.mute_holds = 0
        self.apply_unanswered_starts = True
        self.silent = False
        self._fence = 0
        self._lease_ms: Milliseconds = 0
        self._number = 0
        self._highest: dict[TaskKey, int] = {}

    @property
    def lease_expired(self) -> bool:
        """Tell whether nothing may run any more."""
        return self.clock.now_ms() > self._lease_ms

    def status(self, **changes: object) -> EndpointStatus:
        """Return what the endpoint reports of itself."""
        status = EndpointStatus(
            'endpoint-1',
            1,
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
        """Start a run, or tell why not."""
        self._tick()
        if self.mute_starts:
            self.mute_starts -= 1
            if self.apply_unanswered_starts:
                self._start(request)
            await self.clock.sleep_ms(timeout_ms)
            return _timeout()
        await self._pause(timeout_ms)
        return _timeout() if self.silent else self._start(request)

    async def stop(
        self,
        ref: RunRef,
        fence: int,
        timeout_ms: Milliseconds,
    ) -> Failure | None:
        """Stop a run; one that is not there yet can never start."""
        if self.mute_stops:
            self.mute_stops -= 1
            await self.clock.sleep_ms(timeout_ms)
            return _timeout()
        await self._pause(timeout_ms)
        if self.silent:
            return _timeout()
        if not self._accepts(fence):
            return Failure(FailureReason.INVALID_REQUEST, 'fence')
        self._tick()
        self._stop(ref)
        return None

    async def hold(
        self,
        request: HoldRequest,
        timeout_ms: Milliseconds,
    ) -> EndpointLists | Failure:
        """Extend the lease and return the lists."""
        await self._pause(timeout_ms)
        if self.silent:
            return _timeout()
        if self.mute_holds:
            self.mute_holds -= 1
            await self.clock.sleep_ms(timeout_ms)
            return _timeout()
        self._tick()
        if not self._accepts(request.fence):
            return EndpointLists(self._now(), fenced=True)
        if request.lease_end_ms is not None:
            self._lease_ms = max(self._lease_ms, request.lease_end_ms)
        self._acknowledge(request.seen_end)
        waited_ms: Milliseconds = 0
        while waited_ms < request.wait_ms and not self.finished:
            await self.clock.sleep_ms(_POLL_MS)
            waited_ms += _POLL_MS
            self._tick()
        return _timeout() if self.silent else self._lists()

    async def close(self) -> None:
        """Close nothing."""

    def _stop(self, ref: RunRef) -> None:
        highest = self._highest.get(ref.task, 0)
        self._highest[ref.task] = max(highest, ref.run)
        work = self.running.get(ref.task)
        if work is not None and work.ref.run <= ref.run:
            self._finish(work, RunOutcome.LOST, 'stopped')

    def _accepts(self, fence: int) -> bool:
        if fence < self._fence:
            return False
        self._fence = fence
        return True

    def _start(self, request: StartRequest) -> StartReply:
        if not self._accepts(request.fence):
            return StartReply.REFUSED
        if request.lease_end_ms < self._now():
            return StartReply.REFUSED
        self._lease_ms = max(self._lease_ms, request.lease_end_ms)
        task = request.ref.task
        work = self.running.get(task)
        if work is not None:
            same = work.ref == request.ref
            return StartReply.STARTED if same else StartReply.OUTRUN
        if request.ref.run <= self._highest.get(task, 0):
            return StartReply.OUTRUN
        if len(self.running) >= self.slots:
            return StartReply.NO_ROOM
        now_ms = self.clock.now_ms()
        self._highest[task] = request.ref.run
        self.starts.append(request.ref)
        self.running[task] = Work(
            request.ref,
            now_ms,
            now_ms + self.work_ms,
            self.failing,
            self.hanging,
        )
        return StartReply.STARTED

    def _tick(self) -> None:
        now_ms = self.clock.now_ms()
        for work in tuple(self.running.values()):
            outcome = _outcome_at(work, now_ms)
            if now_ms > self._lease_ms:
                self._finish(work, RunOutcome.LOST, 'lapsed')
            elif outcome is not None:
                self._finish(work, outcome, outcome.value)

    def _finish(self, work: Work, outcome: RunOutcome, detail: str) -> None:
        self.running.pop(work.ref.task)
        self._number += 1
        self.finished.append(
            EndedRun(self._number, work.ref, outcome, detail),
        )

    def _acknowledge(self, seen_end: int) -> None:
        self.finished = [end for end in self.finished if end.number > seen_end]

    def _lists(self) -> EndpointLists:
        running = tuple(
            ListedRun(work.ref, self._percent(work))
            for work in self.running.values()
        )
        return EndpointLists(self._now(), running, tuple(self.finished))

    def _percent(self, work: Work) -> float:
        if work.hangs:
            return 0
        done_ms = self.clock.now_ms() - work.started_ms
        return min(_WHOLE, _WHOLE * done_ms / (work.ends_ms - work.started_ms))

    def _now(self) -> int:
        return int(self.clock.now_ms())

    async def _pause(self, timeout_ms: Milliseconds) -> None:
        await self.clock.sleep_ms(timeout_ms if self.silent else 1)


def _outcome_at(work: Work, now_ms: Milliseconds) -> RunOutcome | None:
    """Return how a run has ended by a time, or nothing while it works."""
    if work.hangs or now_ms < work.ends_ms:
        return None
    return RunOutcome.FAILED if work.fails else RunOutcome.DONE


def _timeout() -> Failure:
    return Failure(FailureReason.TIMEOUT, 'no reply')
