"""Entry sessions: their expiry and the run ends to acknowledge."""

from __future__ import annotations

import math
import secrets
from collections import deque
from collections.abc import Iterator, Set
from typing import Protocol

import attrs

from borageward.clock import Clock, Milliseconds
from borageward.messages.runs import (
    GuardMessage,
    RunEnd,
    RunOutcome,
    RunRef,
)
from borageward.policy.run_authority import AuthorityLimits

# The runs of an entry whose link has broken are stopped after this time, unless
# it has reopened the link. A live entry needs 60 to 100 ms for that.
UNLINKED_TIMEOUT_MS = 250.0
# A session without runs has no authority to lose, and is kept for longer.
_IDLE_SESSION_TIMEOUT_MS = 3000.0
# An entry with runs at work whose newest echo is older than this stood still or
# was cut off. A live one echoes a state within 450 ms: states are sent every
# 300 ms and echoed if they are 150 ms newer than the last echoed one. The time
# counts from the stamp, because a heartbeat may have been held up on its way.
_STILL_MS = 450.0
# An entry that stood still may echo a state this long before it stops the runs
# of callers that have left meanwhile.
ECHO_HOLD_MS = 100.0
_SESSION_ID_BYTES = 6
# Shortest and longest time between two checks for expired sessions.
_MIN_EXPIRY_WAIT_MS = 30.0
_MAX_EXPIRY_WAIT_MS = 450.0


def _new_session_id() -> str:
    return secrets.token_hex(_SESSION_ID_BYTES)


class SessionLink(Protocol):
    """Link on which the messages of a session are sent."""

    def post(self, message: GuardMessage) -> None:
        """Queue a message without blocking."""

    async def close(self) -> None:
        """Close the link; queued messages are not sent."""


@attrs.define(slots=True, eq=False)
class Session:
    """State that the guard keeps for one entry incarnation.

    ``session_id`` identifies the session: an entry whose session has expired
    gets another one, whose ends are numbered from the beginning. ``attempt`` is
    the number of the entry's connection that holds the session.
    ``echoed_ms`` is the newest time stamp of this guard that the entry has
    echoed, from which ``limits`` count. The limit on its runs counts from
    ``settled_ms``, the newest one that no stop may follow any more. Echoes
    settle at ``held_until_ms`` at the earliest. ``state_sent_ms`` is the time
    of the last state sent to it, ``sent_version`` the number of changes that
    this state contained, and ``last_order`` the number of its last start
    request.
    ``unlinked_ms`` is the time when its last link was lost.
    ``unacknowledged`` holds run ends until the entry has acknowledged them;
    ``last_end`` is the number of the last one, ``reported_end`` of the last
    one sent on the current link.
    """

    entry: str
    echoed_ms: Milliseconds
    limits: AuthorityLimits
    settled_ms: Milliseconds = attrs.field(init=False)
    held_until_ms: Milliseconds = -math.inf
    session_id: str = attrs.field(factory=_new_session_id)
    attempt: int = 0
    link: SessionLink | None = None
    last_order: int = 0
    unacknowledged: deque[RunEnd] = attrs.field(factory=deque)
    last_end: int = 0
    reported_end: int = 0
    state_sent_ms: Milliseconds = 0
    sent_version: int = -1
    unlinked_ms: Milliseconds = -math.inf

    def __attrs_post_init__(self) -> None:
        """Count from the time when the session was opened."""
        self.settled_ms = self.echoed_ms

    @property
    def authority_end_ms(self) -> Milliseconds:
        """Return the time in ms until which runs may start and go on."""
        return self.echoed_ms + self.limits.session_timeout_ms

    @property
    def run_limit_ms(self) -> Milliseconds:
        """Return the time in ms by which all runs of the session have ended."""
        return self.settled_ms + self.limits.run_limit_ms

    @property
    def has_unreported(self) -> bool:
        """Return whether run ends remain to be sent on the current link."""
        return self.last_end > self.reported_end

    def extend(
        self,
        echoed_ms: Milliseconds,
        now_ms: Milliseconds,
        *,
        has_runs: bool,
    ) -> bool:
        """Extend the session from a time stamp that the entry has echoed.

        After a silence the limit on its runs is extended later, by ``settle``.
        Returns whether such a time begins with this echo. ``has_runs`` says
        whether any run may be at work.
        """
        begins_hold = has_runs and now_ms - self.echoed_ms > _STILL_MS
        if begins_hold:
            self.held_until_ms = now_ms + ECHO_HOLD_MS
        self.echoed_ms = max(self.echoed_ms, echoed_ms)
        self.settle(now_ms)
        return begins_hold

    def settle(self, now_ms: Milliseconds) -> None:
        """Extend the limit on the runs unless echoes are held back."""
        if now_ms >= self.held_until_ms:
            self.settled_ms = self.echoed_ms

    def add_end(
        self,
        ref: RunRef,
        outcome: RunOutcome,
        detail: str,
    ) -> None:
        """Number a run end and keep it until the entry acknowledges it."""
        self.last_end += 1
        self.unacknowledged.append(RunEnd(self.last_end, ref, outcome, detail))

    def acknowledge(self, seen_end: int) -> None:
        """Drop the run ends up to the number that the entry has seen."""
        while self.unacknowledged and self.unacknowledged[0].number <= seen_end:
            self.unacknowledged.popleft()

    def take_unreported(self) -> tuple[RunEnd, ...]:
        """Return the run ends to send on the current link, marked as sent."""
        ends = tuple(
            end for end in self.unacknowledged if end.number > self.reported_end
        )
        self.reported_end = self.last_end
        return ends


class SessionTable:
    """Sessions by entry incarnation."""

    def __init__(self, clock: Clock, limits: AuthorityLimits) -> None:
        """Create an empty table."""
        self._clock = clock
        self._limits = limits
        self._sessions: dict[str, Session] = {}

    def __iter__(self) -> Iterator[Session]:
        """Iterate over a copy of the sessions."""
        return iter(tuple(self._sessions.values()))

    def __len__(self) -> int:
        """Return the number of sessions."""
        return len(self._sessions)

    def find(self, entry: str) -> Session | None:
        """Return the session of an entry, or None."""
        return self._sessions.get(entry)

    def open(self, entry: str) -> Session:
        """Return the session of an entry, created if missing.

        All unacknowledged run ends will be sent again on the new link.
        """
        session = self._sessions.get(entry)
        if session is None:
            session = Session(entry, self._clock.now_ms(), self._limits)
            self._sessions[entry] = session
        session.reported_end = 0
        return session

    def expiry_wait_ms(self) -> Milliseconds:
        """Return the time until a session expires that is not extended."""
        first_ms = min(
            (item.authority_end_ms for item in self), default=math.inf
        )
        wait_ms = first_ms - self._clock.now_ms()
        return min(_MAX_EXPIRY_WAIT_MS, max(_MIN_EXPIRY_WAIT_MS, wait_ms))

    def expired(self, busy: Set[str]) -> list[Session]:
        """Return the sessions whose last echoed time stamp is too old.

        ``busy`` names the entries that have runs.
        """
        now_ms = self._clock.now_ms()
        return [
            item
            for item in self
            if now_ms - item.echoed_ms > _timeout_ms(item, busy)
        ]

    def find_lapsed(self, entry: str, busy: Set[str]) -> Session | None:
        """Return the session of an entry if it has lapsed, else None.

        After a freeze of this guard the entry may open a session before the
        expiry of the former one is handled. ``busy`` names the entries that
        have runs.
        """
        session = self._sessions.get(entry)
        if session is None or entry not in busy:
            return None
        has_lapsed = session.authority_end_ms < self._clock.now_ms()
        return session if has_lapsed else None

    def is_unlinked_since(
        self,
        session: Session,
        unlinked_ms: Milliseconds,
    ) -> bool:
        """Return whether a session is open and has had no link since a time."""
        if self._sessions.get(session.entry) is not session:
            return False
        return session.link is None and session.unlinked_ms == unlinked_ms

    def remove(self, session: Session) -> None:
        """Remove a session unless a newer one has replaced it."""
        if self._sessions.get(session.entry) is session:
            self._sessions.pop(session.entry)


def _timeout_ms(session: Session, busy: Set[str]) -> Milliseconds:
    if session.entry in busy:
        return session.limits.session_timeout_ms
    return _IDLE_SESSION_TIMEOUT_MS
