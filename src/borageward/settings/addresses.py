"""Check of all addresses in a settings document."""

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
class _AddressUse:
    """One address with its JSON path and its use.

    ``listens`` means that the process binds the address, ``announced`` that
    other processes are also told to dial it.
    """

    path: str
    text: str
    listens: bool = False
    announced: bool = False

    @property
    def address(self) -> Address | Failure:
        """Return the parsed address, or ``INVALID_REQUEST``."""
        return parse_address(self.text)


def check_addresses(settings: Settings) -> list[SettingsProblem]:
    """Return a problem for each unusable address and for each clash.

    Two addresses clash when the process cannot listen on both.
    """
    uses = list(_address_uses(settings))
    problems = [
        SettingsProblem(use.path, detail)
        for use in uses
        if (detail := _address_problem(use))
    ]
    problems.extend(_check_clashes(uses))
    return problems


def _address_uses(settings: Settings) -> Iterator[_AddressUse]:
    if settings.metrics.address:
        yield _AddressUse('$.metrics.address', settings.metrics.address)
    if settings.control is not None:
        yield from _control_uses(settings.control)
    if settings.entry is not None:
        yield from _entry_uses(settings.entry)
    if settings.guard is not None:
        yield from _guard_uses(settings.guard)
    if settings.operator is not None:
        yield from _operator_uses(settings.operator)


def _control_uses(control: ControlSettings) -> Iterator[_AddressUse]:
    prefix = '$.control'
    yield _AddressUse(f'{prefix}.address', control.address, listens=True)
    yield _AddressUse(
        f'{prefix}.member_address',
        control.member_address,
        listens=True,
    )
    for position, voter in enumerate(control.voters):
        path = f'{prefix}.voters[{position}]'
        yield _AddressUse(f'{path}.address', voter.address)
        yield _AddressUse(f'{path}.member_address', voter.member_address)


def _entry_uses(entry: EntrySettings) -> Iterator[_AddressUse]:
    prefix = '$.entry'
    yield _AddressUse(
        f'{prefix}.http_address', entry.http_address, listens=True
    )
    yield _AddressUse(
        f'{prefix}.link_address',
        entry.link_address,
        listens=True,
        announced=True,
    )
    yield from _replica_uses(prefix, entry)


def _guard_uses(guard: GuardSettings) -> Iterator[_AddressUse]:
    prefix = '$.guard'
    yield _AddressUse(
        f'{prefix}.link_address',
        guard.link_address,
        listens=True,
        announced=True,
    )
    yield _AddressUse(f'{prefix}.runner_address', guard.runner_address)
    yield from _replica_uses(prefix, guard)


def _operator_uses(operator: OperatorSettings) -> Iterator[_AddressUse]:
    for position, address in enumerate(operator.control):
        yield _AddressUse(f'$.operator.control[{position}]', address)
    for number, entry in enumerate(operator.entries):
        yield _AddressUse(f'$.operator.entries[{number}]', entry)


def _replica_uses(
    prefix: str,
    section: EntrySettings | GuardSettings,
) -> Iterator[_AddressUse]:
    for position, replica in enumerate(section.control):
        path = f'{prefix}.control[{position}]'
        yield _AddressUse(f'{path}.address', replica.address)
        yield _AddressUse(f'{path}.member_address', replica.member_address)


def _address_problem(use: _AddressUse) -> str:
    address = use.address
    if isinstance(address, Failure):
        return address.detail
    if use.listens and not use.announced:
        return ''
    if _is_wildcard(address):
        return f'{address.host} cannot be dialled by other processes'
    if address.port == 0 and not use.listens:
        # Only a listener may let the operating system choose the port.
        return 'port 0 cannot be dialled'
    return ''


def _check_clashes(uses: list[_AddressUse]) -> Iterator[SettingsProblem]:
    seen: list[tuple[_AddressUse, Address]] = []
    for use in uses:
        address = use.address
        if not use.listens or isinstance(address, Failure):
            continue
        for path in _clashing_paths(address, seen):
            yield SettingsProblem(use.path, f'{address} is taken by {path}')
        seen.append((use, address))


def _clashing_paths(
    address: Address,
    seen: list[tuple[_AddressUse, Address]],
) -> Iterator[str]:
    for use, used_address in seen:
        if _clash(address, used_address):
            yield use.path


def _clash(first: Address, second: Address) -> bool:
    if first.port == 0 or first.port != second.port:
        return False
    same = first.host == second.host
    return same or _is_wildcard(first) or _is_wildcard(second)


def _is_wildcard(address: Address) -> bool:
    return ipaddress.ip_address(address.host).is_unspecified
