"""Messages on the link between an entry and a guard.

The link is duplex; replies are correlated by job and task index, so their
order does not matter.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from borageward.failures import FailureReason
from borageward.messages.base import Message
from borageward.messages.task import TaskOutcome, TaskReport, TaskSpec


class GuardLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of a guard at the time of a message.

    ``speed`` is the smoothed ratio of expected to observed run time;
    ``queued_ms`` is the expected run time of all queued work.
    ``running_long`` counts the slots held by long work, overdue work included.
    """

    slots: int
    free_slots: int
    queued_short: int
    queued_long: int
    queued_ms: float
    leaving: bool
    speed: float
    running_long: int = 0


class Hello(Message, frozen=True):
    """First message of an entry on a link."""

    entry_incarnation: int
    entry_name: str


class Welcome(Message, frozen=True):
    """Answer of the guard to ``Hello``."""

    guard_incarnation: int
    worker: str
    place: str
    service: str
    load: GuardLoad


class StartTasks(Message, frozen=True):
    """All starts of one job for one guard.

    ``remaining_ms`` is the time left to the job's deadline.
    """

    job_id: bytes
    incarnation: int
    service: str
    urgent: bool
    remaining_ms: float
    tasks: tuple[TaskSpec, ...]


class Withdraw(Message, frozen=True):
    """Withdraw tasks that have not started; answered by ``Settled``."""

    job_id: bytes
    incarnation: int
    indexes: tuple[int, ...]
    attempt: int


class Settle(Message, frozen=True):
    """Ask for the state of tasks and fence those never seen.

    ``incarnation`` asks, ``owner`` is the incarnation that sent the starts.
    Later results of the job go to the link that settled last. Answered by
    ``Settled``; with ``withdraw_queued`` queued tasks are withdrawn.
    """

    job_id: bytes
    incarnation: int
    owner: int
    indexes: tuple[int, ...]
    attempt: int
    withdraw_queued: bool = False


class Settled(Message, frozen=True):
    """States of the tasks that ``Settle`` or ``Withdraw`` named."""

    job_id: bytes
    guard_incarnation: int
    reports: tuple[TaskReport, ...]
    load: GuardLoad


class Fence(Message, frozen=True):
    """Refuse all later starts of an ended entry incarnation.

    ``incarnation`` is the incarnation of the entry that asks.
    """

    incarnation: int
    ended: int


class SeenJob(msgspec.Struct, frozen=True, array_like=True):
    """Tasks of one job that a guard accepted from a fenced incarnation."""

    job_id: bytes
    indexes: tuple[int, ...]


class Fenced(Message, frozen=True):
    """Confirms ``Fence`` and lists the jobs seen from that incarnation."""

    ended: int
    guard_incarnation: int
    seen: tuple[SeenJob, ...]


class AcknowledgedJob(msgspec.Struct, frozen=True, array_like=True):
    """Tasks of one job whose results arrived at the entry."""

    job_id: bytes
    indexes: tuple[int, ...]


class Acknowledge(Message, frozen=True):
    """Results of these tasks arrived at the entry."""

    jobs: tuple[AcknowledgedJob, ...]


class Reserve(Message, frozen=True):
    """Ask for an offer when a slot frees; starts nothing."""

    reservation: int
    count: int
    expected_ms: float


class CancelReservation(Message, frozen=True):
    """Drop a reservation; unknown ones are ignored."""

    reservation: int


class SlotOffered(Message, frozen=True):
    """A slot is held for a reservation for ``hold_ms``."""

    reservation: int
    hold_ms: float
    load: GuardLoad


class JobOutcome(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of one task with the job that it belongs to."""

    job_id: bytes
    outcome: TaskOutcome


class TasksFinished(Message, frozen=True):
    """Outcomes of finished tasks, possibly of several jobs."""

    outcomes: tuple[JobOutcome, ...]
    load: GuardLoad


class TasksRefused(Message, frozen=True):
    """Tasks of a start that were not run and are fenced at this attempt."""

    job_id: bytes
    indexes: tuple[int, ...]
    attempt: int
    reason: FailureReason
    load: GuardLoad


class Announcement(Message, frozen=True):
    """Change of the guard's state that entries learn at once."""

    load: GuardLoad


EntryToGuard: TypeAlias = (
    Hello
    | StartTasks
    | Withdraw
    | Settle
    | Fence
    | Acknowledge
    | Reserve
    | CancelReservation
)
GuardToEntry: TypeAlias = (
    Welcome
    | Settled
    | Fenced
    | SlotOffered
    | TasksFinished
    | TasksRefused
    | Announcement
)
