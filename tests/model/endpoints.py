"""Endpoints of the model, and the calls of a guard to them."""

from __future__ import annotations

import collections
import math

import trio

from borageward.clock import SystemClock
from borageward.failures import Failure, FailureReason
from borageward.messages.runs import RunOutcome
from borageward.runs import EndpointLists, StartReply
from standins.endpoint import EndpointStandIn

_MS_PER_SECOND = 1000.0
_LATENCY_S = 0.001
# A wait of zero would not let the virtual time go on.
_SHORTEST_WAIT_S = 0.001
_EPOCH_MS = 1_700_000_000_000
_UPTIME_MS = 480_000
# A stop takes at most this long; that of a run that hangs takes all of it.
_STOP_GRACE_MS = 50.0
# An unanswered call may be carried out after a time between these.
_MIN_LATE_S = 2.0
_MAX_LATE_S = 12.0


class ModelEndpoint(EndpointStandIn):
    """Endpoint whose runs end by themselves and are seen by the monitor.

    ``late`` names the kinds of calls ('start', 'stop', 'hold', and 'read' for a
    hold without a fence) that get no answer with probability ``late_share``.
    They are carried out seconds later with probability ``applied_share``, at
    once if ``applies_at_once``.
    ``late_s`` are the bounds of that time. Starts are refused without an effect
    with probability ``refused_share``, and replies are delayed by up to
    ``reply_delay_s`` each, so that they overtake each other. ``rate`` is the
    speed of the endpoint's clock.
    """

    def __init__(self, endpoint_id, monitor, rng, rate=1.0):
        """Start without runs; durations of runs are given with their spec."""
        super().__init__(SystemClock())
        self.name = endpoint_id
        self.changed = trio.Event()
        self.late = frozenset()
        self.late_share: float = 0
        self.applied_share: float = 0
        self.applies_at_once = False
        self.late_s = (_MIN_LATE_S, _MAX_LATE_S)
        # Number of calls of each kind that got no answer.
        self.unanswered = collections.Counter()
        self.refused_share: float = 0
        self.reply_delay_s: float = 0
        self.draining = False
        self.rng = rng
        self._sequence = 0
        self._rate = rate
        self._monitor = monitor
        now_ms = self.clock.now_ms()
        self._clock_origin_ms = now_ms - _UPTIME_MS
        self._born_ms = int(_EPOCH_MS + self._clock_origin_ms)
        monitor.add_endpoint(self)

    def report(self):
        """Return the next status report."""
        self._sequence += 1
        return self.status(
            endpoint_id=self.name,
            sequence=self._sequence,
            draining=self.draining,
        )

    def end(self, detail):
        """End with all runs; the endpoint does not come back."""
        self._drop_runs(detail)
        self.down = True
        self._monitor.remove_endpoint(self)
        self._notify()

    def crash(self):
        """End all runs and refuse connections until ``start_again``."""
        self._drop_runs('crash')
        self.down = True
        self._notify()

    def start_again(self):
        """Begin another incarnation under the same id."""
        super().start_again()
        self._born_ms = int(_EPOCH_MS + self._clock_origin_ms)
        self._sequence = 0
        self.draining = False
        self.down = False

    def end_due_runs(self):
        """End the runs that are done or whose lease has expired."""
        self._end_due_runs()

    def next_due_s(self):
        """Return the time when the next run ends, in seconds."""
        if not self.running:
            return math.inf
        ends = [
            math.inf if active.hangs else active.ends_ms
            for active in self.running.values()
        ]
        lease_ms = self._clock_origin_ms + (self._lease_ms + 1) / self._rate
        return min(lease_ms, *ends) / _MS_PER_SECOND

    def carry_out_start(self, request):
        """Carry out a start and return the reply."""
        self._end_due_runs()
        if self.refused_share and self.rng.random() < self.refused_share:
            return StartReply.REFUSED
        known = len(self.starts)
        self.work_ms = float(request.spec)
        reply = self._start(request)
        if len(self.starts) > known:
            self._monitor.run_started(self, request.ref)
        return reply

    def carry_out_stop(self, ref, fence):
        """Carry out a stop; return None once it is confirmed."""
        self._end_due_runs()
        if not self._accept_fence(fence):
            return Failure(FailureReason.INVALID_REQUEST, 'outdated fence')
        self._stop(ref)
        self._notify()
        return None

    def carry_out_hold(self, request):
        """Carry out a hold without its wait; return the lists."""
        self._end_due_runs()
        if self._accept_fence(request.fence):
            if request.lease_end_ms is not None:
                self._extend_lease(request.lease_end_ms)
            self._acknowledge(request.seen_end)
            return self._build_lists()
        return EndpointLists(
            self._now_ms(),
            fenced=True,
            born_ms=self._born_ms,
        )

    def lists(self):
        """Return the active and the ended runs."""
        return self._build_lists()

    def _stop(self, ref):
        """Stop a run, which takes up to the grace time."""
        highest_run = self._highest_run.get(ref.task, 0)
        self._highest_run[ref.task] = max(highest_run, ref.run)
        active = self.running.get(ref.task)
        if active is not None and active.ref.run <= ref.run:
            grace_ms = self.rng.uniform(0, _STOP_GRACE_MS)
            if active.hangs:
                grace_ms = _STOP_GRACE_MS
                active.ends_ms = math.inf
            active.hangs = False
            active.fails = True
            active.ends_ms = min(
                active.ends_ms,
                self.clock.now_ms() + grace_ms,
            )

    def _finish(self, active, outcome, detail):
        if outcome is RunOutcome.FAILED:
            outcome, detail = RunOutcome.LOST, 'stopped'
        super()._finish(active, outcome, detail)
        self._monitor.run_ended(self, active.ref, detail)

    def _drop_runs(self, detail):
        self._end_due_runs()
        for active in self.running.values():
            self._monitor.run_ended(self, active.ref, detail)
        self.running.clear()

    def _now_ms(self):
        elapsed_ms = self.clock.now_ms() - self._clock_origin_ms
        return int(elapsed_ms * self._rate)

    def _notify(self):
        self.changed.set()
        self.changed = trio.Event()


class GuardPort:
    """Calls of one guard process to one endpoint of its host."""

    def __init__(self, process, endpoint, nursery):
        """Run late calls in a nursery that outlives the guard."""
        self._process = process
        self._endpoint = endpoint
        self._nursery = nursery

    async def start(self, request, timeout_ms):
        """Start a run."""
        reply = await self._call(
            'start',
            lambda: self._endpoint.carry_out_start(request),
            timeout_ms,
        )
        if isinstance(reply, Failure):
            if reply.reason is FailureReason.RUNNER_UNREACHABLE:
                return StartReply.REFUSED
        return reply

    async def stop(self, ref, fence, timeout_ms):
        """Stop a run."""
        return await self._call(
            'stop',
            lambda: self._endpoint.carry_out_stop(ref, fence),
            timeout_ms,
        )

    async def hold(self, request, timeout_ms):
        """Extend the lease and return the lists after the wait."""
        lists = await self._call(
            'hold' if request.fence else 'read',
            lambda: self._endpoint.carry_out_hold(request),
            timeout_ms,
            request.wait_ms,
        )
        return lists

    async def close(self):
        """Do nothing, as there is no connection to close."""
        await trio.lowlevel.checkpoint()

    async def _call(self, kind, act, timeout_ms, wait_ms=0):
        await self._process.gate()
        deadline = trio.current_time() + timeout_ms / _MS_PER_SECOND
        reply = Failure(FailureReason.TIMEOUT, 'no reply')
        with trio.move_on_at(deadline):
            reply = await self._exchange(kind, act, wait_ms)
        await self._process.gate()
        return reply

    async def _exchange(self, kind, act, wait_ms):
        endpoint = self._endpoint
        await trio.sleep(_LATENCY_S)
        if endpoint.down:
            return Failure(FailureReason.RUNNER_UNREACHABLE, 'refused')
        is_late = kind in endpoint.late
        if is_late and endpoint.rng.random() < endpoint.late_share:
            endpoint.unanswered[kind] += 1
            if endpoint.rng.random() < endpoint.applied_share:
                self._nursery.start_soon(self._carry_out_late, act)
            await trio.sleep_forever()
        reply = act()
        if wait_ms and not reply.ended and not reply.fenced:
            reply = await self._wait_for_end(act, wait_ms)
        delay_s = _LATENCY_S
        if endpoint.reply_delay_s:
            delay_s += endpoint.rng.uniform(0, endpoint.reply_delay_s)
        await trio.sleep(delay_s)
        return reply

    async def _carry_out_late(self, act):
        endpoint = self._endpoint
        if not endpoint.applies_at_once:
            await trio.sleep(endpoint.rng.uniform(*endpoint.late_s))
        if not endpoint.down:
            act()

    async def _wait_for_end(self, act, wait_ms):
        endpoint = self._endpoint
        born_ms = endpoint.born_ms
        until = trio.current_time() + wait_ms / _MS_PER_SECOND
        while trio.current_time() < until and not endpoint.finished:
            step_s = trio.current_time() + _SHORTEST_WAIT_S
            with trio.move_on_at(
                max(step_s, min(until, endpoint.next_due_s())),
            ):
                await endpoint.changed.wait()
            if endpoint.down or endpoint.born_ms != born_ms:
                return Failure(FailureReason.LINK_BROKEN, 'endpoint crashed')
            endpoint.end_due_runs()
        return endpoint.lists()
