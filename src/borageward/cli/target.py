"""Processes that a command calls, and the operator's identity."""

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
    """Addresses of control replicas and entries, and the TLS files to use.

    Without TLS, ``tls`` is ``None``.
    """

    control: tuple[Address, ...]
    entries: tuple[Address, ...]
    tls: TlsFiles | None

    @property
    def operator(self) -> str:
        """Return the operator's name.

        This is the common name of the certificate, or without TLS the login
        name.
        """
        if self.tls is None:
            return getpass.getuser()
        return _common_name(self.tls.pem[-1])


def open_target(
    settings: str,
    control: str,
    entry: str,
) -> Target | Failure:
    """Return the target of the options ``--settings/--control/--entry``.

    An empty ``settings`` stands for the file named by the environment
    variable ``BORAGEWARD_SETTINGS``. Addresses in the options, separated by
    commas, replace those of the settings. Returns ``INVALID_REQUEST`` if no
    settings file is named, and the failure if the settings, the TLS files or
    an address cannot be used.
    """
    path = settings or os.environ.get(SETTINGS_VARIABLE, '')
    if not path:
        return _invalid_request(
            f'no settings file; use --settings FILE or set {SETTINGS_VARIABLE}',
        )
    document = read_settings(pathlib.Path(path))
    if isinstance(document, Failure):
        return document
    tls = open_tls(document.tls)
    if isinstance(tls, Failure):
        return tls
    replicas = _parse_addresses(control or _control_addresses(document))
    if isinstance(replicas, Failure):
        return replicas
    entries = _parse_addresses(entry or _entry_addresses(document))
    if isinstance(entries, Failure):
        return entries
    return Target(replicas, entries, tls)


def _control_addresses(document: Settings) -> str:
    if document.operator is not None:
        return ','.join(document.operator.control)
    if document.control is not None:
        return ','.join(voter.address for voter in document.control.voters)
    member = document.entry or document.guard
    replicas = member.control if member else ()
    return ','.join(replica.address for replica in replicas)


def _entry_addresses(document: Settings) -> str:
    if document.operator is not None:
        return ','.join(document.operator.entries)
    return document.entry.http_address if document.entry else ''


def _parse_addresses(text: str) -> tuple[Address, ...] | Failure:
    addresses: list[Address] = []
    for part in text.split(',') if text else ():
        address = parse_address(part.strip())
        if isinstance(address, Failure):
            return address
        if address not in addresses:
            addresses.append(address)
    return tuple(addresses)


def _common_name(certificate: bytes) -> str:
    # The certificate parser is imported only where TLS is used.
    from cryptography import x509  # noqa: WPS433

    subject = x509.load_pem_x509_certificate(certificate).subject
    names = subject.get_attributes_for_oid(x509.NameOID.COMMON_NAME)
    return str(names[0].value) if names else ''


def _invalid_request(detail: str) -> Failure:
    return Failure(FailureReason.INVALID_REQUEST, detail)
