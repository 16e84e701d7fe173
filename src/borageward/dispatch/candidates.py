"""Endpoints and their free capacity during one placement round."""

from __future__ import annotations

from collections.abc import Collection

import attrs

from borageward.clock import Milliseconds
from borageward.dispatch.fleet import Fleet
from borageward.dispatch.guardlink import GuardLink
from borageward.dispatch.job import Job, JobTask
from borageward.messages.runs import EndpointState
from borageward.policy.run_admission import share_of_cores
from borageward.policy.run_placement import Candidate, PlacementNeed

_MILLICORES_PER_CORE = 1000


@attrs.define(slots=True)
class _Usage:
    """Cores of one pool.

    ``cores`` counts all cores at the nominal speed, ``own_cores`` those of the
    runs of this entry, and ``used_cores`` those of the runs of all entries.
    ``sessions`` is the greatest number of entries that share an endpoint.
    """

    cores: float = 0
    own_cores: float = 0
    used_cores: float = 0
    sessions: int = 1


class Candidates:
    """Endpoints that accept work, by pool.

    The room of a candidate is reduced by the caller as it places tasks.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Collect the endpoints from the newest states of a fleet's guards."""
        self._by_pool: dict[str, list[Candidate]] = {}
        self._usage: dict[str, _Usage] = {}
        for link in fleet.links():
            state = link.state
            if state is not None and state.accepting and link.is_answering:
                self._add(link, state)

    def of_pool(self, pool: str) -> list[Candidate]:
        """Return the endpoints of a pool that accept work."""
        return self._by_pool.get(pool, [])

    def cores(self, pool: str) -> float:
        """Return the estimated share of a pool's cores for this entry."""
        usage = self._usage.get(pool)
        if usage is None:
            return 0
        return share_of_cores(
            usage.cores,
            usage.own_cores,
            usage.used_cores,
            usage.sessions,
        )

    def _add(self, link: GuardLink, state: EndpointState) -> None:
        candidate = _candidate(link, state)
        self._by_pool.setdefault(state.pool, []).append(candidate)
        usage = self._usage.setdefault(state.pool, _Usage())
        usage.cores += (
            state.capacity.cpu_milli / _MILLICORES_PER_CORE / state.slowness
        )
        usage.own_cores += link.ordered().cpu_milli / _MILLICORES_PER_CORE
        used = state.capacity.cpu_milli - candidate.room.cpu_milli
        usage.used_cores += used / _MILLICORES_PER_CORE
        usage.sessions = max(usage.sessions, state.sessions)


def placement_need(
    job: Job,
    task: JobTask,
    now_ms: Milliseconds,
    *,
    accepts_late: bool,
    suspects: Collection[str] | None = None,
) -> PlacementNeed:
    """Return the requirements of a task on its endpoint.

    ``accepts_late`` allows an endpoint that would miss the goal of the job.
    ``suspects`` names the guards that run suspects, if the task is one.
    """
    step = job.request.steps[task.key.step]
    excluded: frozenset[str] = frozenset()
    if step.per_endpoint:
        excluded = job.guards_with(task.key.step, step.per_endpoint)
    return PlacementNeed(
        step.demand,
        step.estimate_ms,
        job.goal.goal_ms - now_ms,
        accepts_late,
        step.required_label,
        step.data_rack,
        task.failed_on.union(suspects or ()),
        excluded,
        is_suspect=task.is_suspect,
    )


def _candidate(link: GuardLink, state: EndpointState) -> Candidate:
    return Candidate(
        link.name,
        frozenset(state.labels),
        state.capacity,
        link.room(),
        state.slowness,
        state.failure_share,
    )
