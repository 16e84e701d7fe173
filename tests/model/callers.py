"""Callers of the model, which repeat their jobs as the protocol says."""

from __future__ import annotations

import trio

from borageward.dispatch import JobRequest, JobVerdict, StepSpec
from borageward.messages.runs import Demand
from tests.model.entries import QUEUE

# Callers send a job again this long after its connection broke, a 502, a 504
# or no answer.
RESEND_S = 1.3
_MAX_WORK_MS = 6000
_MIN_WORK_MS = 300
_DEADLINE_MS = 9000
_CONNECT_S = 0.002
_MAX_PAUSE_S = 0.6
_MS_PER_SECOND = 1000.0


class Callers:
    """Callers that each submit one job after the other."""

    def __init__(self, entries, monitor, rng, end_s):
        """Submit new jobs until ``end_s``."""
        self._entries = entries
        self._monitor = monitor
        self._rng = rng
        self._end_s = end_s
        self._jobs = 0

    async def run(self):
        """Submit jobs one after the other."""
        while trio.current_time() < self._end_s:
            await trio.sleep(self._rng.uniform(0, _MAX_PAUSE_S))
            self._jobs += 1
            await self._run_job(self._make_request())

    def _make_request(self):
        rng = self._rng
        work_ms = rng.randint(_MIN_WORK_MS, _MAX_WORK_MS)
        step = StepSpec(rng.choice((1, 1, 2)), Demand(1000, 1000), work_ms)
        job_id = f'job{self._jobs}'
        deadline_ms = rng.choice((_DEADLINE_MS, _DEADLINE_MS, work_ms / 2))
        return JobRequest(job_id, str(work_ms), (step,), QUEUE, deadline_ms)

    async def _run_job(self, request):
        while trio.current_time() < self._end_s:
            entry = await self._find_entry()
            self._note(request, f'sends the job to {entry.name}')
            exchange = entry.submit(request)
            with trio.move_on_after(request.deadline_ms / _MS_PER_SECOND + 1):
                await exchange.finished.wait()
            if not exchange.finished.is_set():
                entry.break_exchange(exchange)
            outcome = exchange.outcome
            verdict = 'none' if outcome is None else outcome.verdict.value
            self._note(request, f'gets the answer {verdict}')
            if outcome and outcome.verdict is not JobVerdict.EXPIRED:
                return
            await trio.sleep(RESEND_S)

    async def _find_entry(self):
        await trio.sleep(_CONNECT_S)
        while True:
            usable = [entry for entry in self._entries if entry.is_open()]
            if usable:
                return self._rng.choice(usable)
            await trio.sleep(_CONNECT_S)

    def _note(self, request, text):
        self._monitor.record('caller', text, {'job': request.job_id})
