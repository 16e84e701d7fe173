"""Addresses of processes: IP address and port."""

from __future__ import annotations

import ipaddress

import attrs

from borageward.failures import Failure, FailureReason

_MAX_PORT = 65_535


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
    host, separator, port = text.rpartition(':')
    if not separator or not port.isdecimal() or int(port) > _MAX_PORT:
        return Failure(
            FailureReason.INVALID_REQUEST,
            f'{text!r} is not an IP address and a port',
        )
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return Failure(
            FailureReason.INVALID_REQUEST,
            f'{host!r} is not an IP address',
        )
    return Address(host.strip('[]'), int(port))
