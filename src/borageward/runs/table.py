"""Table of the runs at one endpoint and the capacity that they use."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterator
from typing import Protocol

import attrs

from borageward.clock import Milliseconds
from borageward.messages.runs import Demand, RunRef, TaskKey
from borageward.policy.run_authority import AuthorityLimits


class RunState(enum.Enum):
    """State of a run as known to the guard."""

    WAITING = 'waiting'
    STARTING = 'starting'
    RUNNING = 'running'
    # The start request was not answered; the run may or may not be active.
    UNSETTLED = 'unsettled'
    STOPPING = 'stopping'


class Authority(Protocol):
    """Interface of what permits runs until a time, such as a session."""

    @property
    def authority_end_ms(self) -> Milliseconds:
        """Return the time in ms until which runs may start and go on."""

    @property
    def run_limit_ms(self) -> Milliseconds:
        """Return the time in ms by which runs that are not stopped must end."""


@attrs.define(slots=True, eq=False)
class Run:
    """One run on behalf of a session, which gives it its authority.

    Waiting runs start in ascending ``rank``, the time in milliseconds by which
    the run should start. ``requested_ms`` is when the start was requested or
    when that request failed, ``confirmed_ms`` when the endpoint confirmed the
    start or stop, and ``progress_ms`` when the progress last changed.
    ``void_after_ms`` is on the endpoint's clock: the endpoint refuses a start
    request that arrives later. ``listed`` is set when the current incarnation
    of the endpoint has listed the run as active. ``revoked_ms`` is when the run
    lost its authority before its time, and ``stop_confirmed`` is set when the
    endpoint has confirmed its stop. ``limit_ms`` is when it must have ended, if
    that is sooner than its authority says. ``outlived_stop`` is set when a list
    that shows the run after its confirmed stop was reported. ``listed_ms`` is
    when the last lists that show the run as active were requested, and
    ``lapses`` how often the leases of the endpoint had lapsed when the run was
    started there, infinite if that was another incarnation.
    """

    ref: RunRef
    session: str
    spec: str
    demand: Demand
    estimate_ms: float
    rank: float
    authority: Authority
    state: RunState = RunState.WAITING
    requested_ms: Milliseconds = 0
    void_after_ms: Milliseconds = 0
    settling: bool = False
    confirmed_ms: Milliseconds = 0
    progress_ms: Milliseconds = 0
    percent: float = 0
    listed: bool = False
    revoked_ms: Milliseconds = math.inf
    stop_confirmed: bool = False
    limit_ms: Milliseconds = math.inf
    outlived_stop: bool = False
    listed_ms: Milliseconds = 0
    lapses: float = 0

    @property
    def authority_end_ms(self) -> Milliseconds:
        """Return when the authority of the run ends or has ended."""
        return min(self.revoked_ms, self.authority.authority_end_ms)

    @property
    def is_revoked(self) -> bool:
        """Return whether the run lost its authority before its time."""
        return self.revoked_ms < math.inf

    @property
    def occupies_endpoint(self) -> bool:
        """Return whether the run may be using capacity of the endpoint."""
        return self.state is not RunState.WAITING

    @property
    def may_start_in_next_incarnation(self) -> bool:
        """Return whether a restarted endpoint may carry out the start.

        Calls name the endpoint's id only, so a restarted endpoint with the same
        id accepts a start that the former incarnation has not carried out.
        """
        return self.occupies_endpoint and not self.listed


class RunTable:
    """Runs by task; an endpoint has at most one run of a task at a time."""

    def __init__(self, limits: AuthorityLimits | None = None) -> None:
        """Create an empty table."""
        self._limits = limits or AuthorityLimits()
        self._runs: dict[TaskKey, Run] = {}
        self._orphans: dict[RunRef, Milliseconds] = {}

    def __iter__(self) -> Iterator[Run]:
        """Iterate over a copy of the runs."""
        return iter(tuple(self._runs.values()))

    def __len__(self) -> int:
        """Return the number of runs, waiting ones included."""
        return len(self._runs)

    @property
    def limits(self) -> AuthorityLimits:
        """Return the limits on the authority of the runs."""
        return self._limits

    def add(self, run: Run) -> bool:
        """Add a run; return false if the task already has one."""
        if run.ref.task in self._runs:
            return False
        self._runs[run.ref.task] = run
        return True

    def find(self, ref: RunRef) -> Run | None:
        """Return the run with this task and run number, or None."""
        run = self._runs.get(ref.task)
        if run is None or run.ref.run != ref.run:
            return None
        return run

    def remove(self, run: Run) -> None:
        """Remove the run of a task, if there is one."""
        self._runs.pop(run.ref.task, None)

    def of_session(self, session: str) -> list[Run]:
        """Return the runs of a session."""
        return [run for run in self if run.session == session]

    def sessions(self) -> set[str]:
        """Return the sessions that have runs."""
        return {run.session for run in self._runs.values()}

    def has_waiting(self, session: str) -> bool:
        """Return whether a session has waiting runs."""
        return any(
            run.state is RunState.WAITING for run in self.of_session(session)
        )

    def waiting(self) -> list[Run]:
        """Return the waiting runs in ascending rank."""
        waiting = [run for run in self if run.state is RunState.WAITING]
        return sorted(waiting, key=_rank)

    def unfit(self, capacity: Demand) -> list[Run]:
        """Return the waiting runs for which a capacity is too small.

        While the runs at work exceed the capacity, these are all waiting ones:
        there is no room before several runs have ended.
        """
        has_shrunk = not self.occupied().fits(capacity)
        return [
            run
            for run in self.waiting()
            if has_shrunk or not run.demand.fits(capacity)
        ]

    def lapsed(self, now_ms: Milliseconds) -> list[Run]:
        """Return the waiting runs whose authority has ended."""
        return [run for run in self.waiting() if run.authority_end_ms < now_ms]

    def occupied(self) -> Demand:
        """Return the capacity of all runs that may be active."""
        return _total(run for run in self if run.occupies_endpoint)

    def claimed(self) -> Demand:
        """Return the capacity that all runs need, waiting ones included."""
        return _total(iter(self))

    def add_orphan(self, ref: RunRef, found_ms: Milliseconds) -> None:
        """Add an active run that no session has requested."""
        self._orphans.setdefault(ref, found_ms)

    def remove_orphan(self, ref: RunRef) -> None:
        """Remove an orphan whose stop is confirmed or that has ended."""
        self._orphans.pop(ref, None)

    def run_limit_ms(self) -> Milliseconds:
        """Return the time by which the first run that may be active must end.

        A run that has lost its authority before its time may go on for a lease.
        Runs whose stop is confirmed do not count. Infinite without such a run.
        """
        active = [
            run
            for run in self
            if run.occupies_endpoint and not run.stop_confirmed
        ]
        revoked = [run.revoked_ms for run in active]
        revoked.extend(self._orphans.values())
        lease_end_ms = min(revoked, default=math.inf) + self._limits.lease_ms
        limits = [
            min(run.limit_ms, run.authority.run_limit_ms) for run in active
        ]
        return min((*limits, lease_end_ms))

    def is_busy(self) -> bool:
        """Return whether any run may be using capacity of the endpoint."""
        return any(run.occupies_endpoint for run in self)


def _rank(run: Run) -> float:
    return run.rank


def _total(runs: Iterator[Run]) -> Demand:
    total = Demand()
    for run in runs:
        total = total.plus(run.demand)
    return total
