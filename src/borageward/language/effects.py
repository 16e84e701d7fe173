"""Sentences on what a changed configuration means for whom."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

import attrs

from borageward.configuration import Configuration, Limits, Service
from borageward.configuration.policy import ANY_KIND
from borageward.language.capacity import area_of, counted, guards_for
from borageward.language.limits import limit_sentence
from borageward.language.sentences import number_text
from borageward.messages.control import GuardMember

_PERCENT = 100


@attrs.frozen(slots=True)
class Comparison:
    """Configuration before and after a change, with the live guards."""

    before: Configuration
    after: Configuration
    guards: tuple[GuardMember, ...]

    @property
    def service_names(self) -> list[str]:
        """Return the services before or after the change."""
        return sorted({*self.before.services, *self.after.services})


def effects(compared: Comparison) -> Iterator[str]:
    """Return the sentences of a change, one at a time."""
    for name in compared.service_names:
        yield from _service_effects(compared, name)
    yield from _quota_effects(compared)
    for service in compared.service_names:
        yield from _area_effects(compared, service)
    yield from _drain_effects(compared)
    for limit in attrs.fields_dict(Limits):
        yield from _limit_effects(compared, limit)
    yield from _approval_effects(compared)


def _service_effects(compared: Comparison, name: str) -> Iterator[str]:
    before = compared.before.services.get(name)
    after = compared.after.services.get(name)
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
    quota = counted(service.quota_slots, 'slot')
    weight = number_text(service.weight)
    deadline = f'a default deadline of {service.deadline_ms} ms'
    return f'{quota} of its own, weight {weight} and {deadline}'


def _value_effects(before: Service, after: Service) -> Iterator[str]:
    name = after.name
    change = after.quota_slots - before.quota_slots
    if change:
        word = 'gains' if change > 0 else 'loses'
        slots = counted(abs(change), 'slot')
        old, new = before.quota_slots, after.quota_slots
        figures = f'{old} before, {new} after'
        yield f'Service {name} {word} {slots} of its own: {figures}.'
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


def _quota_effects(compared: Comparison) -> Iterator[str]:
    total = _quota_total(compared.after)
    if total == _quota_total(compared.before):
        return
    slots = area_of(compared.guards).slots
    share = f'{total} of {counted(slots, "live slot")}'
    if slots:
        percent = total * _PERCENT // slots
        share = f'{share} ({percent}%)'
    yield f'All services together now own {share}.'
    if total > slots:
        yield (
            f'That is {counted(total - slots, "slot")} more than exist: when '
            + 'all services are busy, not every quota can be honoured.'
        )


def _quota_total(configuration: Configuration) -> int:
    return sum(
        service.quota_slots for service in configuration.services.values()
    )


def _area_effects(compared: Comparison, service: str) -> Iterator[str]:
    listed = (compared.before, compared.after)
    kinds = {
        policy.kind
        for configuration in listed
        for policy in configuration.policies
        if policy.service == service
    }
    for kind in (ANY_KIND, *sorted(kinds - {ANY_KIND})):
        yield from _kind_effects(compared, service, kind)


def _kind_effects(
    compared: Comparison,
    service: str,
    kind: str,
) -> Iterator[str]:
    if service not in compared.after.services:
        return
    before = guards_for(compared.before, service, kind, compared.guards)
    after = guards_for(compared.after, service, kind, compared.guards)
    stated = compared.before.configured_policy(service, kind)
    policy_changed = stated != compared.after.configured_policy(service, kind)
    created = service not in compared.before.services
    if before == after and not policy_changed and not created:
        return
    work = f'{kind} work of {service}'
    if kind == ANY_KIND:
        work = f'Work of {service} without a policy of its own'
    yield (
        f'{work} may use {area_of(after).text}; '
        + f'before it could use {area_of(before).text}.'
    )
    yield from _moved(before, after, work)


def _moved(
    before: Sequence[GuardMember],
    after: Sequence[GuardMember],
    work: str,
) -> Iterator[str]:
    lost = [guard for guard in before if guard not in after]
    if lost and after:
        workers = ', '.join(sorted(guard.worker for guard in lost))
        yield (
            f'{work} that would have run on {workers} moves to the workers '
            + f'that remain: {counted(area_of(lost).slots, "slot")} fewer.'
        )
    if not after:
        yield f'No live worker may take it: {work} is refused as no_runner.'


def _drain_effects(compared: Comparison) -> Iterator[str]:
    before = set(compared.before.drained_workers)
    after = set(compared.after.drained_workers)
    for worker in sorted(after - before):
        yield (
            f'Worker {worker} takes no new work, {_slots_of(compared, worker)} '
            + 'fewer. Work that it has accepted is finished.'
        )
    for worker in sorted(before - after):
        slots = _slots_of(compared, worker)
        yield f'Worker {worker} takes new work again, {slots} more.'


def _slots_of(compared: Comparison, worker: str) -> str:
    own = [guard for guard in compared.guards if guard.worker == worker]
    return counted(area_of(own).slots, 'slot')


def _limit_effects(compared: Comparison, name: str) -> Iterator[str]:
    before = getattr(compared.before.limits, name)
    after = getattr(compared.after.limits, name)
    if before != after:
        yield limit_sentence(name, before, after)


def _approval_effects(compared: Comparison) -> Iterator[str]:
    after = compared.after.approval_required
    if compared.before.approval_required == after:
        return
    if after:
        yield 'Every later change needs an approval before it is accepted.'
    else:
        yield 'Later changes are accepted without an approval.'
