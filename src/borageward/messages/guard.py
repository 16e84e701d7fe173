"""Messages on the link between an entry and a guard.

Both sides send at any time. Replies are matched to requests by job and task
index, so they may arrive in any order.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from borageward.failures import FailureReason
from borageward.messages.base import Message
from borageward.messages.task import TaskOutcome, TaskReport, TaskSpec


class GuardLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of a guard when the message was sent.

    ``queued_short`` and ``queued_long`` count queued tasks by run class, and
    ``queued_ms`` is the sum of their expected run times. ``leaving`` means
    that the guard accepts no new tasks. ``speed`` is the smoothed ratio of
    expected to observed run time. ``running_long`` counts the slots occupied
    by tasks of the long class and by short tasks that have exceeded the limit
    ``long_task_ms``.
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
    """First message on a link; identifies the entry."""

    entry_incarnation: int
    entry_name: str


class Welcome(Message, frozen=True):
    """Reply to ``Hello``; identifies the guard and reports its load."""

    guard_incarnation: int
    worker: str
    place: str
    service: str
    load: GuardLoad


class StartTasks(Message, frozen=True):
    """Start tasks of one job.

    ``incarnation`` is that of the sending entry. ``urgent`` is true for a job
    of urgent priority. ``remaining_ms`` is the time left until the job's
    deadline. Refused tasks are reported by ``TasksRefused``, finished ones by
    ``TasksFinished``.
    """

    job_id: bytes
    incarnation: int
    service: str
    urgent: bool
    remaining_ms: float
    tasks: tuple[TaskSpec, ...]


class Withdraw(Message, frozen=True):
    """Withdraw queued tasks; answered by ``Settled``.

    ``attempt`` is the highest attempt to withdraw; later ones stay queued.
    """

    job_id: bytes
    incarnation: int
    indexes: tuple[int, ...]
    attempt: int


class Settle(Message, frozen=True):
    """Ask for the phases of tasks; answered by ``Settled``.

    ``incarnation`` is the asking entry, ``owner`` the entry incarnation that
    sent the starts. When both are the same, tasks that the guard never started
    are fenced up to ``attempt``; otherwise the owner has ended, and ``Fence``
    blocks all its starts. Later results of the job are sent on the link of the
    most recent ``Settle``. With ``withdraw_queued`` queued tasks are withdrawn
    first.
    """

    job_id: bytes
    incarnation: int
    owner: int
    indexes: tuple[int, ...]
    attempt: int
    withdraw_queued: bool = False


class Settled(Message, frozen=True):
    """Reply to ``Settle`` or ``Withdraw`` with the phase of each task.

    ``attempt`` is that of the request, to which a phase ``NOT_RUN`` applies. It
    is zero in the reply of a guard of an earlier release.
    """

    job_id: bytes
    guard_incarnation: int
    reports: tuple[TaskReport, ...]
    load: GuardLoad
    attempt: int = 0


class Fence(Message, frozen=True):
    """Order a guard to refuse all further starts of an ended entry.

    ``incarnation`` is the asking entry, ``ended`` the entry incarnation to
    fence. Answered by ``Fenced``.
    """

    incarnation: int
    ended: int


class SeenJob(msgspec.Struct, frozen=True, array_like=True):
    """Tasks of one job that a guard started for a fenced incarnation."""

    job_id: bytes
    indexes: tuple[int, ...]


class Fenced(Message, frozen=True):
    """Confirm ``Fence`` and list the tasks started for that incarnation."""

    ended: int
    guard_incarnation: int
    seen: tuple[SeenJob, ...]


class AcknowledgedJob(msgspec.Struct, frozen=True, array_like=True):
    """Tasks of one job whose results the entry has received."""

    job_id: bytes
    indexes: tuple[int, ...]


class Acknowledge(Message, frozen=True):
    """Confirm that results arrived, so that the guard may drop them."""

    jobs: tuple[AcknowledgedJob, ...]


class JobOutcome(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of one task, together with the id of its job."""

    job_id: bytes
    outcome: TaskOutcome


class TasksFinished(Message, frozen=True):
    """Report the outcomes of finished tasks, possibly of several jobs."""

    outcomes: tuple[JobOutcome, ...]
    load: GuardLoad


class TasksRefused(Message, frozen=True):
    """Refuse tasks of ``StartTasks``, all for the same reason.

    They were not run, and neither ``attempt`` nor an earlier one will start.
    """

    job_id: bytes
    indexes: tuple[int, ...]
    attempt: int
    reason: FailureReason
    load: GuardLoad


class Announcement(Message, frozen=True):
    """Report a change of the guard's load outside of any reply."""

    load: GuardLoad


EntryToGuard: TypeAlias = (
    Hello | StartTasks | Withdraw | Settle | Fence | Acknowledge
)
GuardToEntry: TypeAlias = (
    Welcome | Settled | Fenced | TasksFinished | TasksRefused | Announcement
)
