"""Changes that undo a revision of the configuration."""

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
    """Return the change that undoes a revision in the current configuration.

    ``before`` and ``after`` are the configurations before and after the
    revision. Returns ``INVALID_CHANGE`` if the revision changed nothing, or if
    a later revision changed one of its values again, since the undo would
    overwrite that value; the detail names it.
    """
    reversal = tuple(changes_between(after, before))
    if not reversal:
        return _invalid_change('the revision changed nothing')
    later_values = {
        changed_value_name(change) for change in changes_between(after, current)
    }
    overridden = later_values.intersection(map(changed_value_name, reversal))
    if overridden:
        names = ', '.join(sorted(overridden))
        return _invalid_change(f'changed again by a later revision: {names}')
    return reversal[0] if len(reversal) == 1 else changes.Batch(reversal)


def changed_value_name(change: changes.SingleChange) -> str:
    """Return the name of the value that a change sets, as ``quota dispatch``.

    Two changes of the same value have the same name.
    """
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
    """Yield the changes that turn the source into the target."""
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
    target_keys = {(policy.service, policy.kind) for policy in target.policies}
    for policy in source.policies:
        key = (policy.service, policy.kind)
        # Removing a service also removes its policies.
        if key not in target_keys and policy.service in target.services:
            yield changes.RemovePolicy(policy.service, policy.kind)
    for policy in target.policies:
        if policy not in source.policies:
            yield changes.SetPolicy(
                policy.service,
                policy.kind,
                policy.places,
                policy.workers,
            )


def _invalid_change(detail: str) -> Failure:
    return Failure(FailureReason.INVALID_CHANGE, detail)
