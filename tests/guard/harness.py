"""Guard in memory with stand-ins for its runner, control and entries."""

from __future__ import annotations

import contextlib
import io
import json

import trio

from borageward.clock import SystemClock
from borageward.guard import GuardService
from borageward.identity import format_job_id
from borageward.messages import guard as link
from borageward.messages.task import RunClass, TaskPhase, TaskSpec
from borageward.policy.fifo_scheduler import FifoSlotScheduler
from borageward.settings import ControlAddress, GuardSettings
from borageward.telemetry import EventLog
from standins.memory import ControlStandIn, EntryStandIn, MemoryNetwork
from standins.runner import RunnerStandIn

SETTINGS = GuardSettings(
    worker='w1',
    service='dispatch',
    link_address='127.0.0.1:0',
    runner_address='127.0.0.1:1',
    control=(ControlAddress('127.0.0.1:2', '127.0.0.1:3'),),
)


class JumpClock(SystemClock):
    """Clock that a test moves on, as a thawed process finds it."""

    offset_ms = 0

    def now_ms(self):
        """Return the time with all jumps."""
        return super().now_ms() + self.offset_ms


class Bench:
    """Running guard with its stand-ins."""

    def __init__(self, nursery, settings, slots):
        self.nursery = nursery
        self.clock = JumpClock()
        self.journal = io.StringIO()
        self.runner = RunnerStandIn(slots, self.journal)
        self.control = ControlStandIn()
        self.network = MemoryNetwork(nursery, self.runner, self.control)
        self.guard = GuardService(
            settings,
            'nadi-depot',
            self.clock,
            EventLog(),
            FifoSlotScheduler(slots),
            network=self.network,
        )

    def starts(self):
        """Return the journal's lines: job, index and tag of each start."""
        lines = self.journal.getvalue().splitlines()
        return [tuple(line.split()) for line in lines]

    def starts_of(self, job_id):
        """Return the indexes that started of a job, in order."""
        name = format_job_id(job_id)
        return [int(index) for job, index, _ in self.starts() if job == name]

    async def entry(self, incarnation, acknowledges=True):
        """Return an entry with an open link."""
        entry = EntryStandIn(
            self.nursery,
            self.network,
            incarnation,
            acknowledges,
        )
        return await entry.connect()


@contextlib.asynccontextmanager
async def running_guard(settings=SETTINGS, slots=8, ended=()):
    """Run a guard that has registered."""
    async with trio.open_nursery() as nursery:
        bench = Bench(nursery, settings, slots)
        bench.control.ended.extend(ended)
        await bench.guard.start(nursery)
        await trio.sleep(0.1)
        yield bench
        nursery.cancel_scope.cancel()


def start(job_id, incarnation, indexes, attempt=1, remaining_ms=60_000, **run):
    """Return a start message whose journal tag names its sender."""
    run.setdefault('run_ms', 10)
    run['tag'] = f'{incarnation}.{attempt}'
    payload = json.dumps(run).encode()
    return link.StartTasks(
        job_id,
        incarnation,
        'dispatch',
        False,
        remaining_ms,
        tuple(
            TaskSpec(index, attempt, 'k', payload, True, RunClass.SHORT, 10)
            for index in indexes
        ),
    )


def phases(settled):
    """Return the phases of a settlement by index."""
    return {report.index: report.phase for report in settled.reports}


def check_starts_once(bench):
    """Fail when the runner saw a task twice."""
    keys = [(job, index) for job, index, _ in bench.starts()]
    assert len(keys) == len(set(keys)), 'a task started twice'


def check_not_run(bench, claims):
    """Fail when a task started that an entry was told had not run.

    A claim names job, index, owner and the highest attempt that it covers.
    """
    started = {}
    for job, index, tag in bench.starts():
        owner, attempt = tag.split('.')
        started[(job, int(index), int(owner))] = int(attempt)
    for job_id, index, owner, attempt in claims:
        at = started.get((format_job_id(job_id), index, owner))
        assert at is None or at > attempt, 'a task told not run started'


def refusal_claims(entry):
    """Return the claims of an entry's refusals."""
    return [
        (job_id, index, entry.incarnation, attempt)
        for job_id, index, attempt in entry.refusals()
    ]


def settled_claims(settled, owner, attempt):
    """Return the claims of a settlement."""
    return [
        (settled.job_id, report.index, owner, attempt)
        for report in settled.reports
        if report.phase is TaskPhase.NOT_RUN
    ]
