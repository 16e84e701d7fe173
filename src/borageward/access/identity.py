"""Identity of a peer, read from the subject of its certificate."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import Any

import attrs
import trio

from borageward.failures import Failure, FailureReason


class Role(enum.Enum):
    """Role of a peer; the value is an organizational unit of the subject."""

    CONTROL = 'control'
    ENTRY = 'entry'
    GUARD = 'guard'
    CALLER = 'caller'
    VIEWER = 'viewer'
    EDITOR = 'editor'
    APPROVER = 'approver'
    ADMINISTRATOR = 'administrator'


@attrs.frozen(slots=True)
class Identity:
    """Name, roles and services of a peer.

    The name is the common name of the certificate's subject, the services are
    its organizations.
    """

    name: str
    roles: frozenset[Role]
    services: frozenset[str] = frozenset()


def identity_of_stream(stream: trio.SSLStream[Any]) -> Identity | Failure:
    """Return the identity of a TLS peer; the handshake must be complete.

    Returns ``UNAUTHENTICATED`` unless the peer has sent a certificate with
    exactly one common name and at least one known role.
    """
    return identity_of_certificate(stream.getpeercert() or {})


def identity_of_certificate(
    certificate: Mapping[str, Any],
) -> Identity | Failure:
    """Return the identity in a certificate in the form of ``getpeercert``.

    Returns ``UNAUTHENTICATED`` unless the certificate has exactly one common
    name and at least one known role; an empty certificate has neither.
    """
    pairs = [
        pair
        for relative_name in certificate.get('subject', ())
        for pair in relative_name
    ]
    return identity_of_subject(pairs)


def identity_of_subject(pairs: list[tuple[str, str]]) -> Identity | Failure:
    """Return the identity in the (attribute name, value) pairs of a subject.

    Returns ``UNAUTHENTICATED`` unless there is exactly one common name and at
    least one known role. Unknown organizational units are ignored.
    """
    names = _attribute_values(pairs, 'commonName')
    if len(names) != 1:
        return _unauthenticated(
            'certificate does not have exactly one common name'
        )
    roles_by_unit = {role.value: role for role in Role}
    units = _attribute_values(pairs, 'organizationalUnitName')
    roles = frozenset(
        roles_by_unit[unit] for unit in units if unit in roles_by_unit
    )
    if not roles:
        return _unauthenticated(
            f'certificate of {names[0]!r} has no known role'
        )
    services = frozenset(_attribute_values(pairs, 'organizationName'))
    return Identity(names[0], roles, services)


def _attribute_values(
    pairs: list[tuple[str, str]], attribute: str
) -> list[str]:
    return [value for name, value in pairs if name == attribute]


def _unauthenticated(detail: str) -> Failure:
    return Failure(FailureReason.UNAUTHENTICATED, detail)
