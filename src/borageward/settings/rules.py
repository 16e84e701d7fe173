"""Check of rules that several values of a settings document must meet."""

from __future__ import annotations

from collections.abc import Iterator

from borageward.settings.addresses import check_addresses
from borageward.settings.document import (
    ControlSettings,
    Settings,
    TlsSettings,
)
from borageward.settings.problem import SettingsProblem

_VOTER_COUNTS = frozenset((1, 3, 5))
# One lost append must not start an election, nor one lost heartbeat end a
# lease.
_MIN_APPENDS_PER_ELECTION_TIMEOUT = 2
_MIN_HEARTBEATS_PER_LEASE = 2


def check_rules(settings: Settings) -> list[SettingsProblem]:
    """Return all broken rules of settings whose single values are valid."""
    problems = list(_check_tls(settings.tls))
    problems.extend(check_addresses(settings))
    if settings.control is not None:
        problems.extend(_check_voters(settings.control))
        problems.extend(_check_times(settings.control))
        problems.extend(_check_leases(settings, settings.control))
    sections = (
        settings.control,
        settings.entry,
        settings.guard,
        settings.operator,
    )
    if not any(sections):
        detail = 'no role: add a control, entry, guard or operator section'
        problems.append(SettingsProblem('$', detail))
    return problems


def _check_tls(tls: TlsSettings) -> Iterator[SettingsProblem]:
    required = tls.mode == 'mutual'
    for key in ('certificate', 'private_key', 'authority'):
        present = bool(getattr(tls, key))
        if required and not present:
            yield SettingsProblem(f'$.tls.{key}', 'required in mode mutual')
        if present and not required:
            yield SettingsProblem(f'$.tls.{key}', 'must be empty in mode off')


def _check_voters(control: ControlSettings) -> Iterator[SettingsProblem]:
    path = '$.control.voters'
    if len(control.voters) not in _VOTER_COUNTS:
        detail = f'{len(control.voters)} voters; expected 1, 3 or 5'
        yield SettingsProblem(path, detail)
    for key in ('voter_id', 'address', 'member_address'):
        yield from _check_unique(control, key)
    identities = {voter.voter_id for voter in control.voters}
    if control.voter_id not in identities and not control.join_as_learner:
        detail = f'voter_id {control.voter_id!r} of this replica is missing'
        yield SettingsProblem(path, detail)


def _check_unique(
    control: ControlSettings,
    key: str,
) -> Iterator[SettingsProblem]:
    seen: set[str] = set()
    for position, voter in enumerate(control.voters):
        value = getattr(voter, key)
        if value in seen:
            path = f'$.control.voters[{position}].{key}'
            yield SettingsProblem(path, f'{value!r} is given twice')
        seen.add(value)


def _check_times(control: ControlSettings) -> Iterator[SettingsProblem]:
    if (
        control.election_timeout_ms
        < control.append_interval_ms * _MIN_APPENDS_PER_ELECTION_TIMEOUT
    ):
        detail = 'must be at least twice append_interval_ms'
        yield SettingsProblem('$.control.election_timeout_ms', detail)
    if control.claim_retention_ms <= control.clock_skew_ms:
        detail = 'must be longer than clock_skew_ms'
        yield SettingsProblem('$.control.claim_retention_ms', detail)


def _check_leases(
    settings: Settings,
    control: ControlSettings,
) -> Iterator[SettingsProblem]:
    pairs = (
        ('entry', settings.entry, control.entry_lease_ms),
        ('guard', settings.guard, control.guard_lease_ms),
    )
    for role, section, lease_ms in pairs:
        if section is None:
            continue
        if section.heartbeat_interval_ms * _MIN_HEARTBEATS_PER_LEASE > lease_ms:
            path = f'$.{role}.heartbeat_interval_ms'
            detail = f'must be at most half of {role}_lease_ms'
            yield SettingsProblem(path, detail)
