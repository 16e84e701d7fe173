"""gRPC credentials built from TLS files, and identities of gRPC clients."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import grpc
from cryptography import x509
from cryptography.x509.oid import NameOID

from borageward.access.files import TlsFiles
from borageward.access.identity import Identity, identity_of_subject
from borageward.failures import Failure, FailureReason

_PEER_CERTIFICATE = 'x509_pem_cert'
_SUBJECT_NAMES = (
    (NameOID.COMMON_NAME, 'commonName'),
    (NameOID.ORGANIZATIONAL_UNIT_NAME, 'organizationalUnitName'),
    (NameOID.ORGANIZATION_NAME, 'organizationName'),
)


def channel_credentials(files: TlsFiles) -> grpc.ChannelCredentials:
    """Return client credentials with the files as they are loaded now.

    A later reload of the files does not change them.
    """
    authority, private_key, certificate = files.pem
    return grpc.ssl_channel_credentials(authority, private_key, certificate)


def server_credentials(files: TlsFiles) -> grpc.ServerCredentials:
    """Return the credentials of a server that requires client certificates.

    The files are reloaded at each handshake if they have changed.
    """
    return grpc.dynamic_ssl_server_credentials(
        _server_configuration(files),
        _ConfigurationFetcher(files).fetch,
        require_client_authentication=True,
    )


def identity_of_call(
    auth_context: Mapping[str, Sequence[bytes]],
) -> Identity | Failure:
    """Return the identity of a gRPC client from its authentication context.

    Returns ``UNAUTHENTICATED`` unless the client has sent a certificate with
    exactly one common name and at least one known role.
    """
    certificates = auth_context.get(_PEER_CERTIFICATE, ())
    if not certificates:
        return Failure(
            FailureReason.UNAUTHENTICATED, 'no certificate from the peer'
        )
    subject = x509.load_pem_x509_certificate(certificates[0]).subject
    pairs = [
        (name, str(attribute.value))
        for oid, name in _SUBJECT_NAMES
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


class _ConfigurationFetcher:
    """Source of new certificates for a gRPC server."""

    def __init__(self, files: TlsFiles) -> None:
        self._files = files
        self._pem_in_use = files.pem

    def fetch(self) -> grpc.ServerCertificateConfiguration | None:
        """Reload the files and return the new certificate configuration.

        Returns ``None``, which keeps the configuration in use, when the files
        have not changed or the new ones fail validation.
        """
        self._files.reload()
        if self._files.pem == self._pem_in_use:
            return None
        self._pem_in_use = self._files.pem
        return _server_configuration(self._files)
