"""TLS files of a process, their check and their reload."""

from __future__ import annotations

import pathlib
import ssl

from borageward.access.handshake import check_handshake
from borageward.failures import Failure, FailureReason
from borageward.settings import TlsSettings


class TlsFiles:
    """TLS contexts of a process, reloaded when a file changes.

    The contexts stay the same objects; later handshakes use the new files.
    Peers verify the IP number of a server against its certificate.
    """

    def __init__(self, settings: TlsSettings) -> None:
        """Prepare the contexts; ``open_tls`` loads and checks the files."""
        self._settings = settings
        self._server = _context(ssl.PROTOCOL_TLS_SERVER)
        self._client = _context(ssl.PROTOCOL_TLS_CLIENT)
        self._loaded: tuple[bytes, ...] = ()

    @property
    def server(self) -> ssl.SSLContext:
        """Return the context of listeners; it requires a certificate."""
        return self._server

    @property
    def client(self) -> ssl.SSLContext:
        """Return the context of connections to other processes."""
        return self._client

    @property
    def pem(self) -> tuple[bytes, ...]:
        """Return authority, private key and certificate chain as loaded."""
        return self._loaded

    def reload(self) -> bool | Failure:
        """Load changed files; tell whether any had changed.

        A faulty set of files is reported and leaves the loaded one in use.
        """
        try:
            found = self._read()
        except OSError as error:
            return _invalid(f'{error.filename}: {error.strerror}')
        if found == self._loaded:
            return False
        failure = self._check()
        if failure is not None:
            return failure
        self._load(self._server)
        self._load(self._client)
        self._loaded = found
        return True

    def _read(self) -> tuple[bytes, ...]:
        paths = (
            self._settings.authority,
            self._settings.private_key,
            self._settings.certificate,
        )
        return tuple(pathlib.Path(path).read_bytes() for path in paths)

    def _check(self) -> Failure | None:
        server = _context(ssl.PROTOCOL_TLS_SERVER)
        client = _context(ssl.PROTOCOL_TLS_CLIENT)
        # The addresses in the certificate are checked by real peers.
        client.check_hostname = False
        try:
            self._load(server)
            self._load(client)
            check_handshake(server, client)
        except ssl.SSLCertVerificationError as error:
            return _invalid(f'certificate: {error.verify_message}')
        except ssl.SSLError as error:
            detail = (error.reason or str(error)).replace('_', ' ').lower()
            return _invalid(f'certificate, key or authority: {detail}')
        return None

    def _load(self, context: ssl.SSLContext) -> None:
        context.load_cert_chain(
            self._settings.certificate,
            self._settings.private_key,
            password=_no_password,
        )
        context.load_verify_locations(self._settings.authority)


def open_tls(settings: TlsSettings) -> TlsFiles | Failure | None:
    """Return the checked TLS files, nothing for mode ``off``, or a failure."""
    if settings.mode == 'off':
        return None
    files = TlsFiles(settings)
    loaded = files.reload()
    return loaded if isinstance(loaded, Failure) else files


def _context(protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def _no_password() -> str:
    # Without it OpenSSL asks on the terminal and blocks the daemon.
    return ''


def _invalid(detail: str) -> Failure:
    return Failure(FailureReason.INVALID_REQUEST, detail)
