"""Messages between an entry and a guard about runs of tasks.

A run is one attempt to execute a task at an endpoint. Runs belong to the
session of an entry at a guard: the guard stops the runs of a session whose
entry has been silent for too long.
"""

from __future__ import annotations

import enum
from typing import TypeAlias

import msgspec

from borageward.messages.base import Message


class TaskKey(msgspec.Struct, frozen=True, array_like=True):
    """Identity of one task of a job.

    ``occurrence`` numbers the repetitions of a repeated job. ``step`` is the
    position of the task's step in the job, ``index`` the position of the task
    in the step.
    """

    job_id: str
    occurrence: int
    step: int
    index: int


class RunRef(msgspec.Struct, frozen=True, array_like=True):
    """Identity of one run; ``run`` increases with each run of the task."""

    task: TaskKey
    run: int


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """Amount of resources that a task requires or an endpoint has.

    ``cpu_milli`` is in thousandths of a core, ``memory_mb`` in megabytes and
    ``gpu`` the number of GPUs.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    gpu: int = 0

    def fits(self, room: Demand) -> bool:
        """Return whether no resource exceeds the free amount ``room``."""
        if self.cpu_milli > room.cpu_milli or self.gpu > room.gpu:
            return False
        return self.memory_mb <= room.memory_mb

    def plus(self, other: Demand) -> Demand:
        """Return the sum of both amounts for each resource."""
        return Demand(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.gpu + other.gpu,
        )

    def minus(self, other: Demand) -> Demand:
        """Return the difference for each resource, which may be negative."""
        return Demand(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.gpu - other.gpu,
        )


class RunOutcome(enum.Enum):
    """Outcome of a run, which decides whether the entry repeats the task."""

    DONE = 'done'
    FAILED = 'failed'
    # The run no longer executes, and no failure of the task was reported.
    LOST = 'lost'
    # The endpoint crashed while the run was at work.
    CRASHED = 'crashed'
    # The run never started.
    REFUSED = 'refused'
    # The run never started, because the endpoint has seen a run of the task
    # with a higher number.
    OUTRUN = 'outrun'


class RunEnd(msgspec.Struct, frozen=True, array_like=True):
    """End of a run.

    ``number`` is the sequence number of the end within the session. ``detail``
    is one line for a person.
    """

    number: int
    ref: RunRef
    outcome: RunOutcome
    detail: str = ''


class OpenSession(Message, frozen=True):
    """Open or resume the session of an entry incarnation.

    ``entry`` identifies the entry incarnation. ``seen_end`` is the number of
    the last end that the entry has handled in ``session``, zero for none; the
    session is empty before the first one. ``attempt`` increases with each
    connection of the entry to this guard: a lower one comes from a connection
    that the entry has given up, which a frozen guard reads after its thaw.
    """

    entry: str
    seen_end: int
    session: str = ''
    attempt: int = 0


class StartRuns(Message, frozen=True):
    """Start tasks of one step of a job as soon as the endpoint has capacity.

    ``order`` is the sequence number of the message within the session.
    ``starts`` contains the index and the run of each task. ``spec`` is passed
    to the endpoint unchanged. ``demand`` and ``estimate_ms``, the estimated run
    time, hold for each task. ``slack_ms`` is the time until the tasks should
    have started; waiting runs with the least slack start first. ``echoed_ms``
    is as in ``SessionHeartbeat``: the guard refuses a message that was delayed.
    """

    order: int
    job_id: str
    occurrence: int
    step: int
    starts: tuple[tuple[int, int], ...]
    spec: str
    demand: Demand
    estimate_ms: float
    slack_ms: float
    echoed_ms: float


class StopRuns(Message, frozen=True):
    """Stop running and withdraw waiting runs.

    Their ends are reported by ``RunsEnded``, like all others. ``caller_ms`` is
    a time stamp of the guard that the entry received while the runs still had
    their caller: no heartbeat after it extends their authority. Zero if there
    is none.
    """

    refs: tuple[RunRef, ...]
    caller_ms: float = 0


class SessionHeartbeat(Message, frozen=True, tag='SessionBeat'):
    """Heartbeat of an entry, which keeps its session from expiring.

    ``echoed_ms`` is the newest ``stamp_ms`` that the entry has received. The
    session is extended from that time, so a delayed heartbeat does not extend
    it. ``seen_end`` is as in ``OpenSession``.
    """

    echoed_ms: float
    seen_end: int


class SessionOpened(Message, frozen=True):
    """Reply to ``OpenSession`` with the runs that have not ended.

    ``guard`` identifies the process of the guard and ``session`` the session,
    within which ends are numbered. ``resumed`` is false when it is not the
    session that the entry named. ``run_limit_ms`` is the time after a heartbeat
    by which the runs of the session have ended if no other follows; a guard of
    an earlier release does not send it.
    """

    guard: str
    resumed: bool
    refs: tuple[RunRef, ...]
    session: str = ''
    run_limit_ms: float = 2050.0


class EndpointState(Message, frozen=True):
    """State of the endpoint, sent on every change and at intervals.

    ``stamp_ms`` is the time of the state on the guard's clock. ``room`` is the
    capacity that remains after all running and waiting runs; of this session
    those of orders up to ``last_order`` are counted. ``pool`` and ``labels``
    decide which tasks the endpoint may run, and ``accepting`` whether it
    starts new runs. ``slowness`` is the ratio of observed to estimated run
    time, ``failure_share`` the recent share of failed runs. ``sessions`` is the
    number of entries that have a session at the guard.
    """

    stamp_ms: float
    last_order: int
    endpoint_id: str
    pool: str
    labels: tuple[str, ...]
    accepting: bool
    capacity: Demand
    room: Demand
    slowness: float
    failure_share: float
    sessions: int


class RunsEnded(Message, frozen=True):
    """Report ends of runs.

    An end is sent again on each new connection until the entry confirms it by
    ``seen_end``.
    """

    ends: tuple[RunEnd, ...]


EntryMessage: TypeAlias = OpenSession | StartRuns | StopRuns | SessionHeartbeat
GuardMessage: TypeAlias = SessionOpened | EndpointState | RunsEnded
