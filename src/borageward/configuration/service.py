"""Rules for changes to one service."""

from __future__ import annotations

from typing import TypeAlias

import attrs

from borageward.configuration.policy import Service
from borageward.failures import Failure, FailureReason
from borageward.messages import configuration as changes

ServiceValues: TypeAlias = (
    changes.SetService
    | changes.SetQuota
    | changes.SetWeight
    | changes.SetDeadline
)


def changed_service(
    service: Service | None,
    change: ServiceValues,
) -> Service | Failure:
    """Return the changed service, or ``INVALID_CHANGE``.

    ``service`` is ``None`` when it does not exist; only ``SetService`` creates
    it.
    """
    if isinstance(change, changes.SetService):
        created = Service(
            change.name,
            change.quota_slots,
            change.weight,
            change.deadline_ms,
        )
        return _validated(created)
    if service is None:
        return _invalid(f'unknown service {change.name!r}')
    if isinstance(change, changes.SetQuota):
        service = attrs.evolve(service, quota_slots=change.quota_slots)
    elif isinstance(change, changes.SetWeight):
        service = attrs.evolve(service, weight=change.weight)
    else:
        service = attrs.evolve(service, deadline_ms=change.deadline_ms)
    return _validated(service)


def _validated(service: Service) -> Service | Failure:
    if service.quota_slots < 0:
        return _invalid(
            f'quota of service {service.name!r} must not be negative',
        )
    if service.weight < 0:
        return _invalid(
            f'weight of service {service.name!r} must not be negative',
        )
    if service.deadline_ms <= 0:
        return _invalid(
            f'deadline of service {service.name!r} must be above 0 ms',
        )
    return service


def _invalid(detail: str) -> Failure:
    return Failure(FailureReason.INVALID_CHANGE, detail)
