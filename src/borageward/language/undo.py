"""Changes that lead from one configuration to another."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from borageward.configuration import Configuration, Limits, Service
from borageward.failures import Failure, FailureReason
from borageward.messages import configuration as changes


def undo_change(
    before: Configuration,
    after: Configuration,
    current: Configuration,
) -> changes.ConfigurationChange | Failure:
    """Return the change that takes a revision back in the current state.

    ``before`` and ``after`` are the configurations around the revision. A
    value that a later revision changed again is not overwritten:
    ``INVALID_CHANGE`` names it.
    """
    undone = tuple(changes_between(after, before))
    if not undone:
        return _invalid('the revision changed nothing')
    later = {subject_of(change) for change in changes_between(after, current)}
    overridden = later.intersection(map(subject_of, undone))
    if overridden:
        names = ', '.join(sorted(overridden))
        return _invalid(f'changed again by a later revision: {names}')
    return undone[0] if len(undone) == 1 else changes.Batch(undone)


def subject_of(change: changes.SingleChange) -> str:
    """Return the name of the value that a change sets."""
    if isinstance(change, changes.SetPolicy | changes.RemovePolicy):
        return f'policy for {change.kind} of {change.service}'
    if isinstance(change, changes.SetDrained):
        return f'worker {change.worker}'
    if isinstance(change, changes.SetApproval):
        return 'approval'
    if isinstance(change, changes.SetService | changes.RemoveService):
        return f'service {change.name}'
    value = type(change).__name__.removeprefix('Set').lower()
    return f'{value} {change.name}'


def changes_between(
    source: Configuration,
    target: Configuration,
) -> Iterator[changes.SingleChange]:
    """Return the changes that turn one configuration into another."""
    yield from _service_changes(source, target)
    yield from _policy_changes(source, target)
    for name in attrs.fields_dict(Limits):
        amount = getattr(target.limits, name)
        if amount != getattr(source.limits, name):
            yield changes.SetLimit(name, amount)
    for worker in sorted(
        set(source.drained_workers) ^ set(target.drained_workers)
    ):
        yield changes.SetDrained(worker, worker in target.drained_workers)
    if source.approval_required != target.approval_required:
        yield changes.SetApproval(target.approval_required)


def _service_changes(
    source: Configuration,
    target: Configuration,
) -> Iterator[changes.SingleChange]:
    for name in sorted(source.services.keys() - target.services.keys()):
        yield changes.RemoveService(name)
    for added in sorted(target.services.keys() - source.services.keys()):
        service = target.services[added]
        yield changes.SetService(
            added,
            service.quota_slots,
            service.weight,
            service.deadline_ms,
        )
    for kept in sorted(source.services.keys() & target.services.keys()):
        yield from _value_changes(source.services[kept], target.services[kept])


def _value_changes(
    source: Service,
    target: Service,
) -> Iterator[changes.SingleChange]:
    name = target.name
    if source.quota_slots != target.quota_slots:
        yield changes.SetQuota(name, target.quota_slots)
    if source.weight != target.weight:
        yield changes.SetWeight(name, target.weight)
    if source.deadline_ms != target.deadline_ms:
        yield changes.SetDeadline(name, target.deadline_ms)


def _policy_changes(
    source: Configuration,
    target: Configuration,
) -> Iterator[changes.SingleChange]:
    wanted = {(policy.service, policy.kind) for policy in target.policies}
    for policy in source.policies:
        key = (policy.service, policy.kind)
        # The policies of a removed service go with it.
        if key not in wanted and policy.service in target.services:
            yield changes.RemovePolicy(policy.service, policy.kind)
    for policy in target.policies:
        if policy not in source.policies:
            yield changes.SetPolicy(
                policy.service,
                policy.kind,
                policy.places,
                policy.workers,
            )


def _invalid(detail: str) -> Failure:
    return Failure(FailureReason.INVALID_CHANGE, detail)
