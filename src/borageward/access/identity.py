"""Identity of a peer, taken from its certificate."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import Any

import attrs
import trio

from borageward.failures import Failure, FailureReason


class Role(enum.Enum):
    """Role of a certificate, in its organizational units."""

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

    The name is the common name, the services are the organizations of the
    subject.
    """

    name: str
    roles: frozenset[Role]
    services: frozenset[str] = frozenset()


def identity_of_stream(stream: trio.SSLStream[Any]) -> Identity | Failure:
    """Return the identity of a TLS peer after the handshake."""
    return identity_of_certificate(stream.getpeercert() or {})


def identity_of_certificate(
    certificate: Mapping[str, Any],
) -> Identity | Failure:
    """Return the identity in a certificate as ``getpeercert`` gives it.

    Returns ``UNAUTHENTICATED`` for no certificate, no single common name, or
    no known role.
    """
    pairs = [pair for parts in certificate.get('subject', ()) for pair in parts]
    return identity_of_subject(pairs)


def identity_of_subject(pairs: list[tuple[str, str]]) -> Identity | Failure:
    """Return the identity of the names and values of a subject."""
    names = _values(pairs, 'commonName')
    if len(names) != 1:
        return _unauthenticated('certificate without a single common name')
    known = {role.value: role for role in Role}
    units = _values(pairs, 'organizationalUnitName')
    roles = frozenset(known[unit] for unit in units if unit in known)
    if not roles:
        return _unauthenticated(f'certificate of {names[0]!r} has no role')
    services = frozenset(_values(pairs, 'organizationName'))
    return Identity(names[0], roles, services)


def _values(pairs: list[tuple[str, str]], wanted: str) -> list[str]:
    return [value for name, value in pairs if name == wanted]


def _unauthenticated(detail: str) -> Failure:
    return Failure(FailureReason.UNAUTHENTICATED, detail)
