"""Addresses of processes: IP number and port."""

from __future__ import annotations

import ipaddress

import attrs

from borageward.failures import Failure, FailureReason

_MAX_PORT = 65_535


@attrs.frozen(slots=True)
class Address:
    """IP number and TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the text form, as ``parse_address`` reads it."""
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Address | Failure:
    """Parse ``IP:port``; port 0 lets the system choose."""
    host, separator, port = text.rpartition(':')
    if not separator or not port.isdecimal() or int(port) > _MAX_PORT:
        return Failure(FailureReason.INVALID_REQUEST, f'bad address {text!r}')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return Failure(
            FailureReason.INVALID_REQUEST,
            f'{host!r} is not an IP number',
        )
    return Address(host.strip('[]'), int(port))
