"""Credentials of each role, built from the TLS files of the process.

They authenticate both ends of a connection; authorization of requests is in
``borageward.access``. The functions import what their role needs, because a
guard must not load grpcio.
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
    """Credentials of the control role; all are ``None`` without TLS.

    ``frame_server`` is for the frame connections of entries and guards,
    ``grpc_server`` for the gRPC server, ``grpc_client`` for calls to other
    replicas.
    """

    frame_server: ssl.SSLContext | None = None
    grpc_server: grpc.ServerCredentials | None = None
    grpc_client: grpc.ChannelCredentials | None = None


def control_credentials(tls: TlsFiles | None) -> ControlCredentials:
    """Return the credentials of the control role; ``None`` means no TLS."""
    if tls is None:
        return ControlCredentials()
    from borageward.access import grpcfiles  # noqa: WPS433

    return ControlCredentials(
        tls.server,
        grpcfiles.server_credentials(tls),
        grpcfiles.channel_credentials(tls),
    )


def guard_credentials(tls: TlsFiles | None) -> GuardTls | None:
    """Return the credentials of the guard role, or ``None`` without TLS."""
    if tls is None:
        return None
    from borageward.guard.network import GuardTls  # noqa: WPS433

    return GuardTls(tls.server, tls.client)


def entry_credentials(tls: TlsFiles | None) -> EntryAccess:
    """Return the credentials of the entry role; ``None`` means no TLS."""
    from borageward.entry import EntryAccess  # noqa: WPS433

    if tls is None:
        return EntryAccess()
    return EntryAccess(tls.client, tls.server, tls.server)
