"""gRPC credentials from TLS files, and identities of gRPC peers."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import grpc
from cryptography import x509
from cryptography.x509.oid import NameOID

from borageward.access.files import TlsFiles
from borageward.access.identity import Identity, identity_of_subject
from borageward.failures import Failure, FailureReason

_PEER_CERTIFICATE = 'x509_pem_cert'
_NAMES = (
    (NameOID.COMMON_NAME, 'commonName'),
    (NameOID.ORGANIZATIONAL_UNIT_NAME, 'organizationalUnitName'),
    (NameOID.ORGANIZATION_NAME, 'organizationName'),
)


def channel_credentials(files: TlsFiles) -> grpc.ChannelCredentials:
    """Return the credentials of a client."""
    authority, private_key, certificate = files.pem
    return grpc.ssl_channel_credentials(authority, private_key, certificate)


def server_credentials(files: TlsFiles) -> grpc.ServerCredentials:
    """Return the credentials of a server that requires certificates.

    The files are checked for changes at each handshake.
    """
    return grpc.dynamic_ssl_server_credentials(
        _server_configuration(files),
        _ServerFiles(files).changed,
        require_client_authentication=True,
    )


def identity_of_call(
    auth_context: Mapping[str, Sequence[bytes]],
) -> Identity | Failure:
    """Return the identity of a gRPC peer from its authentication context."""
    certificates = auth_context.get(_PEER_CERTIFICATE, ())
    if not certificates:
        return Failure(FailureReason.UNAUTHENTICATED, 'no certificate')
    subject = x509.load_pem_x509_certificate(certificates[0]).subject
    pairs = [
        (name, str(attribute.value))
        for oid, name in _NAMES
        for attribute in subject.get_attributes_for_oid(oid)
    ]
    return identity_of_subject(pairs)


def _server_configuration(
    files: TlsFiles,
) -> grpc.ServerCertificateConfiguration:
    authority, private_key, certificate = files.pem
    return grpc.ssl_server_certificate_configuration(
        ((private_key, certificate),),
        authority,
    )


class _ServerFiles:
    """Files that a gRPC server uses, compared at each handshake."""

    def __init__(self, files: TlsFiles) -> None:
        self._files = files
        self._used = files.pem

    def changed(self) -> grpc.ServerCertificateConfiguration | None:
        """Return the new configuration, or nothing to keep the one in use."""
        self._files.reload()
        if self._files.pem == self._used:
            return None
        self._used = self._files.pem
        return _server_configuration(self._files)
