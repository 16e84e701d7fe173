"""Answers to queries that control serves: members and configuration."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from borageward.configuration import Configuration, Limits, Service
from borageward.language.answer import Answer, Source
from borageward.language.query import Query, Subject
from borageward.language.sentences import area_text, number_text
from borageward.messages.control import EntryMember, GuardMember, Membership

_Row = tuple[str, ...]
_MEMBER_COLUMNS = (
    'role',
    'name',
    'place',
    'service',
    'incarnation',
    'address',
    'slots',
    'state',
)
_SERVICE_COLUMNS = ('service', 'quota_slots', 'weight', 'deadline_ms')
_POLICY_COLUMNS = ('service', 'kind', 'places', 'workers')
_LIMIT_COLUMNS = ('limit', 'amount')
_SETTING_COLUMNS = ('setting', 'value')


def members_answer(
    query: Query,
    membership: Membership,
    source: Source,
) -> Answer:
    """Return the entries and guards of the membership that match a query.

    Entries have neither a service nor a worker, so a query that names any
    matches guards alone.
    """
    rows = [
        _entry_row(entry)
        for entry in membership.entries
        if _matches_entry(query, entry)
    ]
    rows.extend(
        _guard_row(guard)
        for guard in membership.guards
        if _matches_guard(query, guard)
    )
    return Answer(_MEMBER_COLUMNS, tuple(rows), (source,))


def configuration_answer(
    query: Query,
    configuration: Configuration,
    source: Source,
) -> Answer:
    """Return the part of the configuration that is the query's subject.

    This is the services, the policies or the limits; for any other subject
    it is the whole configuration as pairs of setting and value.
    """
    columns: _Row = _SETTING_COLUMNS
    rows = _setting_rows(configuration)
    if query.subject is Subject.SERVICES:
        columns, rows = _SERVICE_COLUMNS, _service_rows(query, configuration)
    elif query.subject is Subject.POLICIES:
        columns, rows = _POLICY_COLUMNS, _policy_rows(query, configuration)
    elif query.subject is Subject.LIMITS:
        columns, rows = _LIMIT_COLUMNS, _limit_rows(configuration)
    return Answer(columns, tuple(rows), (source,))


def _entry_row(entry: EntryMember) -> _Row:
    row = [
        'entry',
        entry.name,
        entry.place,
        '',
        str(entry.incarnation),
        entry.http_address,
        '',
        'ended' if entry.ended_at else 'live',
    ]
    return tuple(row)


def _guard_row(guard: GuardMember) -> _Row:
    live_state = 'leaving' if guard.leaving else 'live'
    row = [
        'guard',
        guard.worker,
        guard.place,
        guard.service,
        str(guard.incarnation),
        guard.link_address,
        str(guard.slots),
        'ended' if guard.ended_at else live_state,
    ]
    return tuple(row)


def _matches_entry(query: Query, entry: EntryMember) -> bool:
    if query.services or query.workers:
        return False
    return not query.places or entry.place in query.places


def _matches_guard(query: Query, guard: GuardMember) -> bool:
    filters = (
        (query.services, guard.service),
        (query.places, guard.place),
        (query.workers, guard.worker),
    )
    return all(not names or name in names for names, name in filters)


def _service_rows(query: Query, configuration: Configuration) -> Iterator[_Row]:
    for name, service in sorted(configuration.services.items()):
        if not query.services or name in query.services:
            weight = number_text(service.weight)
            quota = str(service.quota_slots)
            yield name, quota, weight, str(service.deadline_ms)


def _policy_rows(query: Query, configuration: Configuration) -> Iterator[_Row]:
    for policy in configuration.policies:
        filters = (
            (query.services, policy.service),
            (query.kinds, policy.kind),
        )
        if all(not names or name in names for names, name in filters):
            places = ','.join(policy.places) or 'all'
            workers = ','.join(policy.workers) or 'all'
            yield policy.service, policy.kind, places, workers


def _limit_rows(
    configuration: Configuration,
) -> Iterator[tuple[str, str]]:
    for name in attrs.fields_dict(Limits):
        yield name, number_text(getattr(configuration.limits, name))


def _setting_rows(configuration: Configuration) -> Iterator[_Row]:
    approval = 'yes' if configuration.approval_required else 'no'
    yield 'approval_required', approval
    yield 'drained_workers', ','.join(configuration.drained_workers)
    for service in configuration.services.values():
        yield _service_setting(service)
    for policy in configuration.policies:
        area = area_text(policy.places, policy.workers)
        yield f'policy {policy.kind} of {policy.service}', area
    for limit, amount in _limit_rows(configuration):
        yield f'limit {limit}', amount


def _service_setting(service: Service) -> _Row:
    quota = f'{service.quota_slots} slots'
    weight = f'weight {number_text(service.weight)}'
    deadline = f'deadline {service.deadline_ms} ms'
    return f'service {service.name}', f'{quota}, {weight}, {deadline}'
