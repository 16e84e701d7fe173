"""Which processes a command talks to, and as whom."""

from __future__ import annotations

import getpass
import os
import pathlib

import attrs

from borageward.access import TlsFiles, open_tls
from borageward.failures import Failure, FailureReason
from borageward.settings import Settings, read_settings
from borageward.transport import Address, parse_address

SETTINGS_VARIABLE = 'BORAGEWARD_SETTINGS'


@attrs.frozen(slots=True)
class Target:
    """Control replicas and entries with the TLS identity for them."""

    control: tuple[Address, ...]
    entries: tuple[Address, ...]
    tls: TlsFiles | None

    @property
    def operator(self) -> str:
        """Return the operator's name, from the certificate with TLS."""
        if self.tls is None:
            return getpass.getuser()
        return _common_name(self.tls.pem[-1])


def open_target(
    settings: str,
    control: str,
    entry: str,
) -> Target | Failure:
    """Return the target of the options ``--settings/--control/--entry``.

    Addresses given as options replace those of the settings; several are
    separated by commas.
    """
    path = settings or os.environ.get(SETTINGS_VARIABLE, '')
    if not path:
        return _invalid(
            f'give --settings FILE or set {SETTINGS_VARIABLE}',
        )
    document = read_settings(pathlib.Path(path))
    if isinstance(document, Failure):
        return document
    tls = open_tls(document.tls)
    if isinstance(tls, Failure):
        return tls
    replicas = _addresses(control or _control_of(document))
    if isinstance(replicas, Failure):
        return replicas
    entries = _addresses(entry or _entries_of(document))
    if isinstance(entries, Failure):
        return entries
    return Target(replicas, entries, tls)


def _control_of(document: Settings) -> str:
    if document.operator is not None:
        return ','.join(document.operator.control)
    if document.control is not None:
        return ','.join(voter.address for voter in document.control.voters)
    member = document.entry or document.guard
    replicas = member.control if member else ()
    return ','.join(replica.address for replica in replicas)


def _entries_of(document: Settings) -> str:
    if document.operator is not None:
        return ','.join(document.operator.entries)
    return document.entry.http_address if document.entry else ''


def _addresses(text: str) -> tuple[Address, ...] | Failure:
    found: list[Address] = []
    for part in text.split(',') if text else ():
        address = parse_address(part.strip())
        if isinstance(address, Failure):
            return address
        if address not in found:
            found.append(address)
    return tuple(found)


def _common_name(certificate: bytes) -> str:
    # Only operators with TLS need the certificate parser.
    from cryptography import x509  # noqa: WPS433

    subject = x509.load_pem_x509_certificate(certificate).subject
    names = subject.get_attributes_for_oid(x509.NameOID.COMMON_NAME)
    return str(names[0].value) if names else ''


def _invalid(detail: str) -> Failure:
    return Failure(FailureReason.INVALID_REQUEST, detail)
