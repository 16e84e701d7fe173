"""State of one endpoint incarnation: status, clock, fence and leases."""

from __future__ import annotations

import math

import attrs

from borageward.clock import Clock, Milliseconds
from borageward.runs.port import NOT_REPORTED, EndpointPort, EndpointStatus

# Factor on elapsed time and lease durations: the endpoint's clock may be 2%
# slow, and the estimate of it must not run ahead.
_CLOCK_MARGIN = 0.97
# A call without a reply makes the endpoint unreachable only if it has not
# answered any call for this time, because a single reply may be lost. A refused
# connection makes it unreachable at once.
_UNREACHABLE_AFTER_MS = 500.0
# Leases are extended only while the last answer is more recent than this. A
# busy endpoint is polled every 250 ms.
_RECENT_ANSWER_MS = 400.0
# Time that runs may take to stop once their lease has expired.
_STOP_MARGIN_MS = 60.0
# The endpoint shortens longer leases to this. A lease that was granted on the
# clock of a former incarnation lasts this long in a restarted one.
_MAX_LEASE_MS = 1000.0


class Endpoint:
    """The guard's view of the current incarnation of the endpoint.

    The fence is a token sent with every request; the endpoint rejects requests
    with a lower fence than the highest it has seen. It is the start time of the
    incarnation plus the endpoint's clock at this guard's first reply, which is
    about the Unix time in milliseconds. A guard that starts later and a later
    incarnation therefore have a higher fence, and delayed requests of their
    predecessors are rejected.
    """

    def __init__(
        self,
        status: EndpointStatus,
        port: EndpointPort,
        clock: Clock,
        former: Endpoint | None = None,
    ) -> None:
        """Prepare for an incarnation that has just reported itself.

        ``former`` is the former incarnation if it had the same id, so that
        requests to it may be carried out by this one.

        ``clock`` must not count the time in which the host was suspended: the
        endpoint's clock may have stopped meanwhile, and an estimate ahead of
        it would treat the leases of active runs as expired.
        """
        self._status = status
        self._port = port
        self._clock = clock
        self._endpoint_clock_ms: Milliseconds = 0
        self._clock_read_ms: Milliseconds = 0
        self._fence = 0
        self._former_fence = 0 if former is None else former.highest_fence
        # The endpoint rejects all requests to the former incarnation.
        self._is_fence_in_force = former is None
        self._last_lease_end_ms = 0
        # The endpoint's clock when it composed the newest handled lists.
        self._lists_clock_ms = -1
        # End of the leases before the last time that none was in force.
        self._lapsed_lease_end_ms = 0
        self._last_answer_ms: Milliseconds = clock.now_ms()
        self._reachable = True
        # Number of the last run end that was handled.
        self.seen_end = 0
        # The endpoint is said to be shutting down.
        self.has_left = False
        # The endpoint has refused a connection since its last answer.
        self.refuses = False
        # Number of leases that were granted after all former ones had ended.
        self.lapses = 0
        # The guard itself is shutting down.
        self.draining = False

    @property
    def status(self) -> EndpointStatus:
        """Return the most recently reported status."""
        return self._status

    @property
    def port(self) -> EndpointPort:
        """Return the client for calls to this incarnation."""
        return self._port

    @property
    def fence(self) -> int:
        """Return the fence of this guard; zero until the first reply."""
        return self._fence

    @property
    def highest_fence(self) -> int:
        """Return the highest fence used for the id of this incarnation."""
        return max(self._fence, self._former_fence)

    @property
    def is_ready(self) -> bool:
        """Return whether the fence and the endpoint's clock are known."""
        return self._fence > 0

    @property
    def reachable(self) -> bool:
        """Return whether the endpoint is considered reachable."""
        return self._reachable

    @property
    def answered_recently(self) -> bool:
        """Return whether the last answer allows leases to be extended."""
        if not self._reachable:
            return False
        return self._clock.now_ms() - self._last_answer_ms < _RECENT_ANSWER_MS

    @property
    def accepting(self) -> bool:
        """Return whether new runs may start."""
        if self.has_left or self.draining or self._status.draining:
            return False
        if self._status.sequence == NOT_REPORTED or not self._is_fence_in_force:
            return False
        return self.is_ready and self._reachable

    def is_incarnation(self, born_ms: int) -> bool:
        """Return whether a reply with this start time is of this incarnation.

        Without a start time on both sides incarnations cannot be told apart.
        """
        own_ms = self._status.born_ms
        return born_ms == own_ms or not (born_ms and own_ms)

    def record_born(self, born_ms: int) -> None:
        """Take the start time from a reply if the report did not name it.

        The next report that names it is then known to be of this incarnation.
        """
        if born_ms and not self._status.born_ms:
            self._status = attrs.evolve(self._status, born_ms=born_ms)

    def update(self, status: EndpointStatus) -> bool:
        """Store a status; return false if it is older than the stored one."""
        if status.sequence < self._status.sequence:
            return False
        if status.sequence > self._status.sequence and not status.draining:
            # A late message had said that the endpoint is shutting down.
            self.has_left = False
        self._status = status
        return True

    def record_clock(self, clock_ms: int) -> None:
        """Record a reading of the endpoint's clock in milliseconds.

        Readings that do not advance the estimate come from delayed replies
        and are ignored.
        """
        if self.estimated_clock_ms() >= clock_ms and self._clock_read_ms:
            return
        self._endpoint_clock_ms = clock_ms
        self._clock_read_ms = self._clock.now_ms()

    def record_lists(self, clock_ms: int) -> bool:
        """Record lists; return false if they are not newer than earlier ones.

        Replies on different connections may overtake each other. ``clock_ms``
        is the endpoint's clock when it composed the lists.
        """
        if clock_ms <= self._lists_clock_ms:
            return False
        self._lists_clock_ms = clock_ms
        return True

    def record_answer(self) -> bool:
        """Record an answer; return whether the endpoint was unreachable."""
        regained = not self._reachable
        self.refuses = False
        self._last_answer_ms = self._clock.now_ms()
        self._reachable = True
        return regained

    def record_start_reply(self) -> None:
        """Record the reply to a start request.

        It does not name the incarnation, so it does not make an unreachable
        endpoint reachable again.
        """
        if self._reachable:
            self._last_answer_ms = self._clock.now_ms()

    def record_failed_call(self, *, refused: bool = False) -> bool:
        """Record a failed call.

        ``refused`` says that no connection could be opened. Returns whether
        the endpoint has become unreachable with this call.
        """
        self.refuses = self.refuses or refused
        unanswered_ms = self._clock.now_ms() - self._last_answer_ms
        is_silent = refused or unanswered_ms > _UNREACHABLE_AFTER_MS
        lost = self._reachable and is_silent
        if lost:
            self._reachable = False
        return lost

    def advance_fence(self) -> None:
        """Set a higher fence from the estimate of the endpoint's clock."""
        lowest = self.highest_fence + 1
        clock_ms = int(self.estimated_clock_ms())
        self._fence = max(lowest, self._status.born_ms + clock_ms)

    def record_accepted_fence(self) -> None:
        """Record that the endpoint has accepted the fence.

        Until then a request to the former incarnation may have been carried
        out, with a lease as long as the endpoint allows.
        """
        if self._is_fence_in_force:
            return
        self._is_fence_in_force = True
        self._last_lease_end_ms = max(
            self._last_lease_end_ms,
            math.ceil(self.estimated_clock_ms() + _MAX_LEASE_MS),
        )

    def estimated_clock_ms(self) -> Milliseconds:
        """Return a lower bound of the endpoint's clock in milliseconds."""
        elapsed_ms = self._clock.now_ms() - self._clock_read_ms
        return self._endpoint_clock_ms + elapsed_ms * _CLOCK_MARGIN

    def grant_lease(
        self, duration_ms: Milliseconds, from_ms: Milliseconds
    ) -> int:
        """Return the end of a new lease in ms on the endpoint's clock.

        ``from_ms`` is an estimate of that clock that was made before the
        duration was limited: the process may stand still in between. The
        endpoint rejects a request that arrives after its lease has ended.
        """
        lease_end_ms = int(from_ms + duration_ms * _CLOCK_MARGIN)
        if self.leases_expired():
            self.lapses += 1
            self._lapsed_lease_end_ms = self._last_lease_end_ms
        self._last_lease_end_ms = max(self._last_lease_end_ms, lease_end_ms)
        return lease_end_ms

    def lease_left_ms(self) -> Milliseconds:
        """Return an upper bound of the time until all leases have ended."""
        left_ms = self._last_lease_end_ms - self.estimated_clock_ms()
        return max(0, left_ms / _CLOCK_MARGIN)

    def lease_balance_ms(self, lapses: float) -> Milliseconds | None:
        """Return an upper bound of the time left of the leases of a run.

        ``lapses`` is the number of lapses when the run started: after a later
        one it is not at work. If negative, the leases ended at least that long
        ago. None without a lease, or if a former incarnation may have got one.
        """
        lease_end_ms = self._last_lease_end_ms
        if self.lapses > lapses:
            lease_end_ms = self._lapsed_lease_end_ms
        if not (self._is_fence_in_force and lease_end_ms):
            return None
        left_ms = lease_end_ms - self.estimated_clock_ms()
        return left_ms / _CLOCK_MARGIN if left_ms > 0 else left_ms

    def leases_expired(self) -> bool:
        """Return whether all leases have expired, so that no run is active.

        Leases on the clock of a former incarnation are known only once its
        requests are rejected.
        """
        expiry_ms = self._last_lease_end_ms + _STOP_MARGIN_MS
        return self._is_fence_in_force and self.estimated_clock_ms() > expiry_ms
