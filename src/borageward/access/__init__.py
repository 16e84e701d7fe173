"""Mutual TLS, peer identities and authorization.

This package does not import ``borageward.access.grpcfiles``, because a guard
must load neither grpcio nor cryptography.
"""

from __future__ import annotations

from borageward.access.files import TlsFiles, open_tls
from borageward.access.identity import (
    Identity,
    Role,
    identity_of_certificate,
    identity_of_stream,
)
from borageward.access.rules import authorize, authorize_caller

__all__ = (
    'Identity',
    'Role',
    'TlsFiles',
    'authorize',
    'authorize_caller',
    'identity_of_certificate',
    'identity_of_stream',
    'open_tls',
)
