"""In-memory guard with stand-ins for its runner, control and entries."""

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
    """Clock that a test moves forward, as if the process had been frozen."""

    offset_ms = 0

    def now_ms(self):
        """Return the monotonic time plus ``offset_ms``, in milliseconds."""
        return super().now_ms() + self.offset_ms


class Bench:
    """Guard with its stand-ins; ``journal`` records starts at the runner."""

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
        """Return job, index and tag of each start, from the journal."""
        lines = self.journal.getvalue().splitlines()
        return [tuple(line.split()) for line in lines]

    def starts_of(self, job_id):
        """Return the indexes of started tasks of a job, in start order."""
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
    """Run a registered guard; ``ended`` lists fenced entry incarnations."""
    async with trio.open_nursery() as nursery:
        bench = Bench(nursery, settings, slots)
        bench.control.ended.extend(ended)
        await bench.guard.start(nursery)
        await trio.sleep(0.1)
        yield bench
        nursery.cancel_scope.cancel()


def start(job_id, incarnation, indexes, attempt=1, remaining_ms=60_000, **run):
    """Return a start message whose tag holds its incarnation and attempt."""
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
    """Return the phases in a ``Settled`` message by task index."""
    return {report.index: report.phase for report in settled.reports}


def check_starts_once(bench):
    """Fail when the runner received a task twice."""
    keys = [(job, index) for job, index, _ in bench.starts()]
    assert len(keys) == len(set(keys)), 'a task started twice'


def check_not_run(bench, not_run_reports):
    """Fail when a task started that was reported to an entry as not run.

    A report holds job, index, owner and the highest attempt that it covers.
    """
    started = {}
    for job, index, tag in bench.starts():
        owner, attempt = tag.split('.')
        started[(job, int(index), int(owner))] = int(attempt)
    for job_id, index, owner, attempt in not_run_reports:
        started_attempt = started.get((format_job_id(job_id), index, owner))
        assert started_attempt is None or started_attempt > attempt, (
            'a task reported not run started'
        )


def refusal_reports(entry):
    """Return the not-run reports that the refusals sent to an entry imply."""
    return [
        (job_id, index, entry.incarnation, attempt)
        for job_id, index, attempt in entry.refusals()
    ]


def settled_reports(settled, owner, attempt):
    """Return the not-run reports of a ``Settled`` message for one owner."""
    return [
        (settled.job_id, report.index, owner, attempt)
        for report in settled.reports
        if report.phase is TaskPhase.NOT_RUN
    ]
