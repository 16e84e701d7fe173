"""Configuration changes, as sent to control and stored in its log."""

from __future__ import annotations

from typing import TypeAlias

from borageward.messages.base import Message


class SetService(Message, frozen=True):
    """Create or replace a service.

    ``quota_slots`` is the number of runner slots guaranteed to the service,
    ``weight`` its relative share of unused slots, ``deadline_ms`` the default
    deadline of its jobs.
    """

    name: str
    quota_slots: int
    weight: float
    deadline_ms: int


class SetQuota(Message, frozen=True):
    """Set the number of runner slots guaranteed to a service."""

    name: str
    quota_slots: int


class SetWeight(Message, frozen=True):
    """Set a service's relative share of unused slots."""

    name: str
    weight: float


class SetDeadline(Message, frozen=True):
    """Set the default deadline of a service's jobs."""

    name: str
    deadline_ms: int


class SetDrained(Message, frozen=True):
    """Set whether a worker is drained, so that it gets no new tasks."""

    worker: str
    drained: bool


class RemoveService(Message, frozen=True):
    """Remove a service; jobs submitted for it later are refused."""

    name: str


class SetPolicy(Message, frozen=True):
    """Restrict where tasks of a service and kind may run.

    An empty ``places`` or ``workers`` allows all of them. The kind ``*``
    applies to every kind of the service that has no policy of its own.
    """

    service: str
    kind: str
    places: tuple[str, ...]
    workers: tuple[str, ...]


class RemovePolicy(Message, frozen=True):
    """Remove the policy of a service and kind."""

    service: str
    kind: str


class SetLimit(Message, frozen=True):
    """Set a limit by its name, which includes the unit of ``amount``."""

    name: str
    amount: float


class SetApproval(Message, frozen=True):
    """Set whether later configuration changes require an approval."""

    required: bool


SingleChange: TypeAlias = (
    SetService
    | SetQuota
    | SetWeight
    | SetDeadline
    | SetDrained
    | RemoveService
    | SetPolicy
    | RemovePolicy
    | SetLimit
    | SetApproval
)


class Batch(Message, frozen=True):
    """Changes that are applied together as one revision, in their order."""

    changes: tuple[SingleChange, ...]


ConfigurationChange: TypeAlias = SingleChange | Batch
