"""Addresses of processes: IP address and port."""

from __future__ import annotations

import ipaddress
import re

import attrs

from borageward.failures import Failure, FailureReason

_MAX_PORT = 65_535
# ASCII digits only. The limit on their number keeps ``int`` from raising
# ``ValueError``, which it does for more than 4300 digits.
_PORT = re.compile('[0-9]{1,5}')
# Characters of an invalid address that a failure quotes.
_SHOWN_LENGTH = 64


@attrs.frozen(slots=True)
class Address:
    """IP address and TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``IP:port``, the form that ``parse_address`` accepts."""
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Address | Failure:
    """Parse ``IP:port``, with an IPv6 address in brackets or without.

    Port 0 lets the operating system choose a free port. Returns
    ``INVALID_REQUEST`` for any other text; host names are not resolved.
    """
    host, _, port = text.rpartition(':')
    if not _PORT.fullmatch(port) or int(port) > _MAX_PORT:
        return _invalid(text, 'is not an IP address and a port')
    if host.startswith('[') and host.endswith(']'):
        host = host[1:-1]
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return _invalid(host, 'is not an IP address')
    return Address(host, int(port))


def parse_peer_address(text: str) -> Address | Failure:
    """Parse the address of another process, to which one can connect.

    Returns ``INVALID_REQUEST`` where ``parse_address`` does, and for port 0,
    the unspecified address and one with a zone index, which only its own host
    can interpret.
    """
    address = parse_address(text)
    if isinstance(address, Failure):
        return address
    unspecified = ipaddress.ip_address(address.host).is_unspecified
    if unspecified or not address.port or '%' in address.host:
        return _invalid(text, 'is not the address of a process')
    return address


def _invalid(text: str, problem: str) -> Failure:
    shown = text[:_SHOWN_LENGTH]
    return Failure(FailureReason.INVALID_REQUEST, f'{shown!r} {problem}')
