"""Plan sentences that describe the effects of a configuration change."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

import attrs

from borageward.configuration import Configuration, Limits, Service
from borageward.configuration.policy import ANY_KIND
from borageward.language.capacity import capacity_of, guards_for, quantity
from borageward.language.limits import limit_sentence
from borageward.language.sentences import number_text
from borageward.messages.control import GuardMember

_PERCENT = 100


@attrs.frozen(slots=True)
class Comparison:
    """Configuration before and after a change.

    ``guards`` are the live guards, from which slot counts are taken.
    """

    before: Configuration
    after: Configuration
    guards: tuple[GuardMember, ...]

    @property
    def service_names(self) -> list[str]:
        """Return the sorted services that exist before or after the change."""
        return sorted({*self.before.services, *self.after.services})


def effects(comparison: Comparison) -> Iterator[str]:
    """Yield a sentence for each effect; nothing for an unchanged value."""
    for name in comparison.service_names:
        yield from _service_effects(comparison, name)
    yield from _quota_effects(comparison)
    for service in comparison.service_names:
        yield from _capacity_effects(comparison, service)
    yield from _drain_effects(comparison)
    for limit in attrs.fields_dict(Limits):
        yield from _limit_effects(comparison, limit)
    yield from _approval_effects(comparison)


def _service_effects(comparison: Comparison, name: str) -> Iterator[str]:
    before = comparison.before.services.get(name)
    after = comparison.after.services.get(name)
    if before == after:
        return
    if after is None:
        yield (
            f'Service {name} is removed. Every later job of {name} is '
            + 'refused as unknown_service.'
        )
        return
    if before is None:
        yield f'Service {name} is created with {_service_text(after)}.'
        return
    yield from _value_effects(before, after)


def _service_text(service: Service) -> str:
    quota = quantity(service.quota_slots, 'slot')
    weight = number_text(service.weight)
    deadline = f'a default deadline of {service.deadline_ms} ms'
    return f'{quota} of its own, weight {weight} and {deadline}'


def _value_effects(before: Service, after: Service) -> Iterator[str]:
    name = after.name
    quota_change = after.quota_slots - before.quota_slots
    if quota_change:
        verb = 'gains' if quota_change > 0 else 'loses'
        slots = quantity(abs(quota_change), 'slot')
        old, new = before.quota_slots, after.quota_slots
        figures = f'{old} before, {new} after'
        yield f'Service {name} {verb} {slots} of its own: {figures}.'
    if after.weight != before.weight:
        old_weight = number_text(before.weight)
        yield (
            f'The weight of {name} in sharing unused slots changes from '
            + f'{old_weight} to {number_text(after.weight)}.'
        )
    if after.deadline_ms != before.deadline_ms:
        yield (
            f'Jobs of {name} without a deadline of their own get '
            + f'{after.deadline_ms} ms instead of {before.deadline_ms} ms.'
        )


def _quota_effects(comparison: Comparison) -> Iterator[str]:
    total = _quota_total(comparison.after)
    if total == _quota_total(comparison.before):
        return
    slots = capacity_of(comparison.guards).slots
    share = f'{total} of {quantity(slots, "live slot")}'
    if slots:
        percent = total * _PERCENT // slots
        share = f'{share} ({percent}%)'
    yield f'All services together now own {share}.'
    if total > slots:
        yield (
            f'That is {quantity(total - slots, "slot")} more than exist: '
            + 'when all services are busy, not every quota can be honoured.'
        )


def _quota_total(configuration: Configuration) -> int:
    return sum(
        service.quota_slots for service in configuration.services.values()
    )


def _capacity_effects(comparison: Comparison, service: str) -> Iterator[str]:
    configurations = (comparison.before, comparison.after)
    kinds = {
        policy.kind
        for configuration in configurations
        for policy in configuration.policies
        if policy.service == service
    }
    for kind in (ANY_KIND, *sorted(kinds - {ANY_KIND})):
        yield from _kind_effects(comparison, service, kind)


def _kind_effects(
    comparison: Comparison,
    service: str,
    kind: str,
) -> Iterator[str]:
    if service not in comparison.after.services:
        return
    before = guards_for(comparison.before, service, kind, comparison.guards)
    after = guards_for(comparison.after, service, kind, comparison.guards)
    old_policy = comparison.before.configured_policy(service, kind)
    policy_changed = old_policy != comparison.after.configured_policy(
        service, kind
    )
    created = service not in comparison.before.services
    if before == after and not policy_changed and not created:
        return
    work = f'{kind} work of {service}'
    if kind == ANY_KIND:
        work = f'Work of {service} without a policy of its own'
    yield (
        f'{work} may use {capacity_of(after).text}; '
        + f'before it could use {capacity_of(before).text}.'
    )
    yield from _moved_work_effects(before, after, work)


def _moved_work_effects(
    before: Sequence[GuardMember],
    after: Sequence[GuardMember],
    work: str,
) -> Iterator[str]:
    lost = [guard for guard in before if guard not in after]
    if lost and after:
        workers = ', '.join(sorted(guard.worker for guard in lost))
        yield (
            f'{work} that would have run on {workers} moves to the workers '
            + f'that remain: {quantity(capacity_of(lost).slots, "slot")} fewer.'
        )
    if not after:
        yield f'No live worker may take it: {work} is refused as no_runner.'


def _drain_effects(comparison: Comparison) -> Iterator[str]:
    before = set(comparison.before.drained_workers)
    after = set(comparison.after.drained_workers)
    for worker in sorted(after - before):
        yield (
            f'Worker {worker} takes no new work, {_slots(comparison, worker)} '
            + 'fewer. Work that it has accepted is finished.'
        )
    for worker in sorted(before - after):
        slots = _slots(comparison, worker)
        yield f'Worker {worker} takes new work again, {slots} more.'


def _slots(comparison: Comparison, worker: str) -> str:
    worker_guards = [
        guard for guard in comparison.guards if guard.worker == worker
    ]
    return quantity(capacity_of(worker_guards).slots, 'slot')


def _limit_effects(comparison: Comparison, name: str) -> Iterator[str]:
    before = getattr(comparison.before.limits, name)
    after = getattr(comparison.after.limits, name)
    if before != after:
        yield limit_sentence(name, before, after)


def _approval_effects(comparison: Comparison) -> Iterator[str]:
    after = comparison.after.approval_required
    if comparison.before.approval_required == after:
        return
    if after:
        yield 'Every later change needs an approval before it is accepted.'
    else:
        yield 'Later changes are accepted without an approval.'
