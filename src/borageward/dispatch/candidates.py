"""Endpoints and their free capacity during one placement round."""

from __future__ import annotations

from collections.abc import Collection, Mapping

import attrs

from borageward.clock import Milliseconds
from borageward.dispatch.fleet import Fleet
from borageward.dispatch.guardlink import GuardLink
from borageward.dispatch.job import Job, JobTask
from borageward.messages.runs import EndpointState
from borageward.policy.containment import containing_guards
from borageward.policy.run_admission import share_of_cores
from borageward.policy.run_placement import Candidate, PlacementNeed
from borageward.queues import Queue

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

    In a pool with a contained queue, part of the endpoints is for this queue
    and the rest for the others. The room of a candidate is reduced by the
    caller as it places tasks.
    """

    def __init__(
        self,
        fleet: Fleet,
        contained: Mapping[str, str] | None = None,
    ) -> None:
        """Collect the endpoints from the newest states of a fleet's guards.

        ``contained`` names the contained queue of each pool that has one.
        """
        self._by_pool: dict[tuple[str, bool], list[Candidate]] = {}
        self._usage: dict[tuple[str, bool], _Usage] = {}
        self._contained = contained or {}
        self._containing = frozenset[str]()
        if self._contained:
            names = (link.name for link in fleet.links())
            self._containing = containing_guards(names)
        for link in fleet.links():
            state = link.state
            if state is not None and state.accepting and link.is_answering:
                self._add(link, state)

    def of_queue(self, queue: Queue) -> list[Candidate]:
        """Return the endpoints that accept work of a queue."""
        return self._by_pool.get(self._key(queue), [])

    def cores(self, queue: Queue) -> float:
        """Return this entry's estimated share of the cores for a queue."""
        usage = self._usage.get(self._key(queue))
        if usage is None:
            return 0
        return share_of_cores(
            usage.cores,
            usage.own_cores,
            usage.used_cores,
            usage.sessions,
        )

    def is_contained(self, queue: Queue) -> bool:
        """Return whether a queue is kept to a part of its pool."""
        return self._contained.get(queue.pool) == queue.name

    def _key(self, queue: Queue) -> tuple[str, bool]:
        return (queue.pool, self.is_contained(queue))

    def _add(self, link: GuardLink, state: EndpointState) -> None:
        candidate = _candidate(link, state)
        contains = state.pool in self._contained
        key = (state.pool, contains and link.name in self._containing)
        self._by_pool.setdefault(key, []).append(candidate)
        usage = self._usage.setdefault(key, _Usage())
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
