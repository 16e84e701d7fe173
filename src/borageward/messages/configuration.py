"""Changes to the configuration as they travel and as the log keeps them."""

from __future__ import annotations

from typing import TypeAlias

from borageward.messages.base import Message


class SetService(Message, frozen=True):
    """Create or replace a service.

    ``quota_slots`` is the number of runner slots that are the service's own,
    ``weight`` its share of unused slots, ``deadline_ms`` its default deadline.
    """

    name: str
    quota_slots: int
    weight: float
    deadline_ms: int


class SetQuota(Message, frozen=True):
    """Set the runner slots that are a service's own."""

    name: str
    quota_slots: int


class SetWeight(Message, frozen=True):
    """Set a service's share of unused slots."""

    name: str
    weight: float


class SetDeadline(Message, frozen=True):
    """Set a service's default deadline."""

    name: str
    deadline_ms: int


class SetDrained(Message, frozen=True):
    """Say whether a worker takes no new work."""

    worker: str
    drained: bool


class RemoveService(Message, frozen=True):
    """Remove a service; its later jobs are refused."""

    name: str


class SetPolicy(Message, frozen=True):
    """Say where work of a service and kind may run.

    Empty ``places`` or ``workers`` allow all. The kind ``*`` means every kind
    without a policy of its own.
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
    """Set one limit by its name; the unit is part of the name."""

    name: str
    amount: float


class SetApproval(Message, frozen=True):
    """Say whether later changes need an approval."""

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
    """Several changes that take effect as one revision."""

    changes: tuple[SingleChange, ...]


ConfigurationChange: TypeAlias = SingleChange | Batch
