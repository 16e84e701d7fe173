"""Interface through which a guard calls the endpoint of its host."""

from __future__ import annotations

import enum
from typing import Protocol

import attrs

from borageward.clock import Milliseconds
from borageward.failures import Failure
from borageward.messages.runs import Demand, RunOutcome, RunRef


# Sequence of a status that the endpoint has not reported itself.
NOT_REPORTED = -1


@attrs.frozen(slots=True)
class EndpointStatus:
    """Status that an endpoint reports about itself.

    A restarted endpoint has another id or another ``born_ms``, the Unix time
    of its start in milliseconds, or zero if it does not report it. ``sequence``
    increases with each report of one incarnation; it is ``NOT_REPORTED`` for an
    incarnation that is known from its run lists only.
    """

    endpoint_id: str
    born_ms: int
    address: str
    pool: str
    capacity: Demand
    labels: tuple[str, ...]
    draining: bool
    sequence: int

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return the id and start time, which identify the incarnation."""
        return (self.endpoint_id, self.born_ms)


@attrs.frozen(slots=True)
class StartRequest:
    """Request to start a run.

    ``lease_end_ms`` is a time on the endpoint's clock; the endpoint refuses
    the request after it.
    """

    ref: RunRef
    spec: str
    lease_end_ms: int
    fence: int


class StartReply(enum.Enum):
    """Reply of the endpoint to a start request."""

    STARTED = 'started'
    NO_ROOM = 'no_room'
    # The endpoint knows a run of the same task with a higher number.
    OUTRUN = 'outrun'
    # The request came too late or the endpoint is unhealthy; no run started.
    REFUSED = 'refused'


@attrs.frozen(slots=True)
class HoldRequest:
    """Request to extend the lease of all runs and to list them.

    The endpoint drops its records of run ends up to number ``seen_end`` and
    delays the reply up to ``wait_ms`` until another run ends. ``lease_end_ms``
    is a time on the endpoint's clock, or None to leave the lease unchanged.
    """

    lease_end_ms: int | None
    fence: int
    seen_end: int
    wait_ms: int


@attrs.frozen(slots=True)
class ListedRun:
    """An active run; ``percent`` is its progress from 0 to 100."""

    ref: RunRef
    percent: float


@attrs.frozen(slots=True)
class EndedRun:
    """Record of a run end; ``number`` increases within one incarnation."""

    number: int
    ref: RunRef
    outcome: RunOutcome
    detail: str


@attrs.frozen(slots=True)
class EndpointLists:
    """Active runs and recorded run ends of an endpoint.

    ``clock_ms`` is the endpoint's clock at the reply. ``fenced`` is true when
    the call was refused because of its fence; the lists are empty then.
    ``born_ms`` is the start time of the incarnation that replied, or zero if
    the reply does not say it.
    """

    clock_ms: int
    running: tuple[ListedRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    fenced: bool = False
    born_ms: int = 0


class EndpointPort(Protocol):
    """Calls to the incarnations of an endpoint that share an id.

    A call that failed or timed out may still be carried out seconds later, by
    a later incarnation too if that has the same id.
    """

    async def start(
        self,
        request: StartRequest,
        timeout_ms: Milliseconds,
    ) -> StartReply | Failure:
        """Start a run; return the endpoint's reply or the failed call."""

    async def stop(
        self,
        ref: RunRef,
        fence: int,
        timeout_ms: Milliseconds,
    ) -> Failure | None:
        """Stop a run, or prevent its start if it has not started yet.

        Returns None once the endpoint has confirmed the stop.
        """

    async def hold(
        self,
        request: HoldRequest,
        timeout_ms: Milliseconds,
    ) -> EndpointLists | Failure:
        """Extend the lease; return the run lists or the failed call."""

    async def close(self) -> None:
        """Close the connections to the endpoint."""
