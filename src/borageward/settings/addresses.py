"""Addresses of a settings document and their clashes."""

from __future__ import annotations

import ipaddress
from collections.abc import Iterator

import attrs

from borageward.failures import Failure
from borageward.settings.document import (
    ControlSettings,
    EntrySettings,
    GuardSettings,
    OperatorSettings,
    Settings,
)
from borageward.settings.problem import SettingsProblem
from borageward.transport.address import Address, parse_address


@attrs.frozen(slots=True)
class _Use:
    """One address, where it stands and how it is used."""

    path: str
    text: str
    listens: bool = False
    announced: bool = False

    @property
    def address(self) -> Address | Failure:
        """Return the parsed address, or why it cannot be parsed."""
        return parse_address(self.text)


def check_addresses(settings: Settings) -> list[SettingsProblem]:
    """Return addresses that cannot be used or that clash."""
    uses = list(_uses(settings))
    problems = [
        SettingsProblem(use.path, detail)
        for use in uses
        if (detail := _address_problem(use))
    ]
    problems.extend(_check_clashes(uses))
    return problems


def _uses(settings: Settings) -> Iterator[_Use]:
    if settings.metrics.address:
        yield _Use('$.metrics.address', settings.metrics.address)
    if settings.control is not None:
        yield from _control_uses(settings.control)
    if settings.entry is not None:
        yield from _entry_uses(settings.entry)
    if settings.guard is not None:
        yield from _guard_uses(settings.guard)
    if settings.operator is not None:
        yield from _operator_uses(settings.operator)


def _control_uses(control: ControlSettings) -> Iterator[_Use]:
    prefix = '$.control'
    yield _Use(f'{prefix}.address', control.address, listens=True)
    yield _Use(
        f'{prefix}.member_address',
        control.member_address,
        listens=True,
    )
    for position, voter in enumerate(control.voters):
        path = f'{prefix}.voters[{position}]'
        yield _Use(f'{path}.address', voter.address)
        yield _Use(f'{path}.member_address', voter.member_address)


def _entry_uses(entry: EntrySettings) -> Iterator[_Use]:
    prefix = '$.entry'
    yield _Use(f'{prefix}.http_address', entry.http_address, listens=True)
    yield _Use(
        f'{prefix}.link_address',
        entry.link_address,
        listens=True,
        announced=True,
    )
    yield from _replica_uses(prefix, entry)


def _guard_uses(guard: GuardSettings) -> Iterator[_Use]:
    prefix = '$.guard'
    yield _Use(
        f'{prefix}.link_address',
        guard.link_address,
        listens=True,
        announced=True,
    )
    yield _Use(f'{prefix}.runner_address', guard.runner_address)
    yield from _replica_uses(prefix, guard)


def _operator_uses(operator: OperatorSettings) -> Iterator[_Use]:
    for position, address in enumerate(operator.control):
        yield _Use(f'$.operator.control[{position}]', address)
    for number, entry in enumerate(operator.entries):
        yield _Use(f'$.operator.entries[{number}]', entry)


def _replica_uses(
    prefix: str,
    section: EntrySettings | GuardSettings,
) -> Iterator[_Use]:
    for position, replica in enumerate(section.control):
        path = f'{prefix}.control[{position}]'
        yield _Use(f'{path}.address', replica.address)
        yield _Use(f'{path}.member_address', replica.member_address)


def _address_problem(use: _Use) -> str:
    address = use.address
    if isinstance(address, Failure):
        return address.detail
    if use.listens and not use.announced:
        return ''
    if _is_wildcard(address):
        return f'{address.host} cannot be dialled by other processes'
    if address.port == 0 and not use.listens:
        # Only a listener may leave the choice of a port to the system.
        return 'port 0 cannot be dialled'
    return ''


def _check_clashes(uses: list[_Use]) -> Iterator[SettingsProblem]:
    seen: list[tuple[_Use, Address]] = []
    for use in uses:
        address = use.address
        if not use.listens or isinstance(address, Failure):
            continue
        for path in _taken_by(address, seen):
            yield SettingsProblem(use.path, f'{address} is taken by {path}')
        seen.append((use, address))


def _taken_by(
    address: Address,
    seen: list[tuple[_Use, Address]],
) -> Iterator[str]:
    for use, taken in seen:
        if _clash(address, taken):
            yield use.path


def _clash(first: Address, second: Address) -> bool:
    if first.port == 0 or first.port != second.port:
        return False
    same = first.host == second.host
    return same or _is_wildcard(first) or _is_wildcard(second)


def _is_wildcard(address: Address) -> bool:
    return ipaddress.ip_address(address.host).is_unspecified
