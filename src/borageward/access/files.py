"""Loading, validation and reloading of a process's TLS files."""

from __future__ import annotations

import pathlib
import ssl

from borageward.access.handshake import check_handshake
from borageward.failures import Failure, FailureReason
from borageward.settings import TlsSettings


class TlsFiles:
    """TLS contexts of a process, built from its TLS files.

    ``reload`` updates the same context objects, so handshakes after it use
    the new files. Clients verify the IP address of a server against its
    certificate.
    """

    def __init__(self, settings: TlsSettings) -> None:
        """Create empty contexts; ``reload`` must load the files before use."""
        self._settings = settings
        self._server = _create_context(ssl.PROTOCOL_TLS_SERVER)
        self._client = _create_context(ssl.PROTOCOL_TLS_CLIENT)
        self._loaded: tuple[bytes, ...] = ()

    @property
    def server(self) -> ssl.SSLContext:
        """Return the context of listeners; clients must send a certificate."""
        return self._server

    @property
    def client(self) -> ssl.SSLContext:
        """Return the context of connections to other processes."""
        return self._client

    @property
    def pem(self) -> tuple[bytes, ...]:
        """Return the PEM of authority, private key and certificate chain.

        It is that of the last successful load, empty before the first.
        """
        return self._loaded

    def reload(self) -> bool | Failure:
        """Load the files again and return whether any of them changed.

        Returns ``INVALID_REQUEST`` when a file cannot be read or the files
        fail validation; the files loaded before then stay in use.
        """
        try:
            contents = self._read_files()
        except OSError as error:
            return _invalid_files(f'{error.filename}: {error.strerror}')
        if contents == self._loaded:
            return False
        failure = self._check_files()
        if failure is not None:
            return failure
        self._load_into(self._server)
        self._load_into(self._client)
        self._loaded = contents
        return True

    def _read_files(self) -> tuple[bytes, ...]:
        paths = (
            self._settings.authority,
            self._settings.private_key,
            self._settings.certificate,
        )
        return tuple(pathlib.Path(path).read_bytes() for path in paths)

    def _check_files(self) -> Failure | None:
        server = _create_context(ssl.PROTOCOL_TLS_SERVER)
        client = _create_context(ssl.PROTOCOL_TLS_CLIENT)
        # The address in the certificate is verified by the real clients.
        client.check_hostname = False
        try:
            self._load_into(server)
            self._load_into(client)
            check_handshake(server, client)
        except ssl.SSLCertVerificationError as error:
            return _invalid_files(
                f'TLS certificate rejected: {error.verify_message}'
            )
        except ssl.SSLError as error:
            detail = (error.reason or str(error)).replace('_', ' ').lower()
            return _invalid_files(
                f'unusable TLS certificate, key or authority: {detail}'
            )
        return None

    def _load_into(self, context: ssl.SSLContext) -> None:
        context.load_cert_chain(
            self._settings.certificate,
            self._settings.private_key,
            password=_empty_password,
        )
        context.load_verify_locations(self._settings.authority)


def open_tls(settings: TlsSettings) -> TlsFiles | Failure | None:
    """Load and validate the TLS files of the settings.

    Returns ``None`` for mode ``off``, and ``INVALID_REQUEST`` when a file
    cannot be read or the files fail validation.
    """
    if settings.mode == 'off':
        return None
    files = TlsFiles(settings)
    loaded = files.reload()
    return loaded if isinstance(loaded, Failure) else files


def _create_context(protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def _empty_password() -> str:
    # Without a password callback, OpenSSL prompts for the password of an
    # encrypted key on the terminal, which blocks the daemon.
    return ''


def _invalid_files(detail: str) -> Failure:
    return Failure(FailureReason.INVALID_REQUEST, detail)
