"""Runs that an entry has ordered at one guard and that have not ended."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import attrs

from borageward.clock import Milliseconds
from borageward.messages.runs import (
    Demand,
    EndpointState,
    RunEnd,
    RunOutcome,
    RunRef,
    SessionOpened,
)

# Called with a run, its outcome and a description for people.
EndHandler = Callable[[RunRef, RunOutcome, str], None]


@attrs.frozen(slots=True)
class _OrderedRun:
    order: int
    demand: Demand


class OutstandingRuns:
    """Runs ordered at one guard whose end has not been handled yet.

    ``on_end`` is called once for each run, even if the guard reports its end
    several times.
    """

    def __init__(self, on_end: EndHandler) -> None:
        """Start without runs; the callback must not block."""
        self._on_end = on_end
        self._ordered: dict[RunRef, _OrderedRun] = {}
        # Runs that the guard was told to stop and that have not ended, each
        # with a time stamp of the guard at which it still had its caller.
        self._stopping: dict[RunRef, Milliseconds] = {}
        self._unlisted: tuple[RunRef, ...] = ()
        self._last_order = 0
        self._session = ''
        self._seen_end = 0

    def __len__(self) -> int:
        """Return the number of runs that have not ended."""
        return len(self._ordered)

    @property
    def session(self) -> str:
        """Return the session that ``seen_end`` belongs to, or empty."""
        return self._session

    @property
    def seen_end(self) -> int:
        """Return the sequence number of the last end that was handled."""
        return self._seen_end

    def reserve(self, ref: RunRef, demand: Demand) -> None:
        """Add a run that the next order contains."""
        self._ordered[ref] = _OrderedRun(self._last_order + 1, demand)

    def next_order(self) -> int:
        """Assign the number of the next order and return it."""
        self._last_order += 1
        return self._last_order

    def mark_stopping(
        self,
        refs: Sequence[RunRef],
        caller_ms: Milliseconds,
    ) -> Milliseconds:
        """Record runs to stop until they end, over several connections.

        ``caller_ms`` is a time stamp of the guard at which the runs still had
        their caller. Returns the lowest one that was recorded for a run.
        """
        for ref in refs:
            if ref in self._ordered:
                self._stopping.setdefault(ref, caller_ms)
        return min(self._stopping.get(ref, caller_ms) for ref in refs)

    def is_answered(self, state: EndpointState) -> bool:
        """Return whether a state counts all orders."""
        return state.last_order >= self._last_order

    def room(self, state: EndpointState) -> Demand:
        """Return the room left after the orders that a state lacks.

        The guard's state counts the orders up to ``last_order``; the demand of
        later ones is subtracted here.
        """
        room = state.room
        for ordered in self._ordered.values():
            if ordered.order > state.last_order:
                room = room.minus(ordered.demand)
        return room

    def demand(self) -> Demand:
        """Return the demand of all runs."""
        total = Demand()
        for ordered in self._ordered.values():
            total = total.plus(ordered.demand)
        return total

    def reconcile(self, message: SessionOpened) -> list[RunRef]:
        """Compare the runs with those that the guard lists.

        Return the runs to stop: the guard lists them, but they have ended for
        the entry, or the request to stop them may have been lost with an
        earlier connection. A run that the guard does not list never reached
        it, unless the guard reports its end before its next state.
        """
        if not message.resumed:
            self._seen_end = 0
        self._session = message.session
        listed = set(message.refs)
        self._unlisted = tuple(
            ref for ref in self._ordered if ref not in listed
        )
        return [
            ref
            for ref in message.refs
            if ref not in self._ordered or ref in self._stopping
        ]

    def end_unlisted(self) -> None:
        """End the runs that the guard did not list in the open session."""
        unlisted = self._unlisted
        self._unlisted = ()
        for ref in unlisted:
            self._end(ref, RunOutcome.LOST, 'run is unknown to the guard')

    def handle_end(self, end: RunEnd) -> None:
        """Handle an end that the guard reports, unless it is a repetition."""
        if end.number > self._seen_end:
            self._seen_end = end.number
            self._end(end.ref, end.outcome, end.detail)

    def expire(self) -> None:
        """End all runs as lost: the guard's authority has expired."""
        for ref in tuple(self._ordered):
            self._end(ref, RunOutcome.LOST, 'lease of the guard expired')

    def _end(self, ref: RunRef, outcome: RunOutcome, detail: str) -> None:
        self._stopping.pop(ref, None)
        if self._ordered.pop(ref, None) is not None:
            self._on_end(ref, outcome, detail)
