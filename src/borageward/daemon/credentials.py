"""Credentials of the roles, from the TLS files of the process.

They authenticate both ends of each connection; what a role may ask for is not
checked here. Imports are per role, because a guard must not load grpcio.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from borageward.access import TlsFiles

if TYPE_CHECKING:
    import ssl

    import grpc

    from borageward.entry import EntryAccess
    from borageward.guard.network import GuardTls


@attrs.frozen(slots=True)
class ControlCredentials:
    """Credentials of control; all empty without TLS.

    ``frames`` is for guards, ``server`` and ``peers`` are for gRPC.
    """

    frames: ssl.SSLContext | None = None
    server: grpc.ServerCredentials | None = None
    peers: grpc.ChannelCredentials | None = None


def control_credentials(tls: TlsFiles | None) -> ControlCredentials:
    """Return the credentials of the control role."""
    if tls is None:
        return ControlCredentials()
    from borageward.access import grpcfiles  # noqa: WPS433

    return ControlCredentials(
        tls.server,
        grpcfiles.server_credentials(tls),
        grpcfiles.channel_credentials(tls),
    )


def guard_credentials(tls: TlsFiles | None) -> GuardTls | None:
    """Return the credentials of the guard role."""
    if tls is None:
        return None
    from borageward.guard.network import GuardTls  # noqa: WPS433

    return GuardTls(tls.server, tls.client)


def entry_credentials(tls: TlsFiles | None) -> EntryAccess:
    """Return the credentials of the entry role."""
    from borageward.entry import EntryAccess  # noqa: WPS433

    if tls is None:
        return EntryAccess()
    return EntryAccess(tls.client, tls.server, tls.server)
