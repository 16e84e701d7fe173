"""Reading of the settings document."""

from __future__ import annotations

import pathlib

import msgspec

from borageward.failures import Failure, FailureReason
from borageward.settings.document import Settings


def read_settings(path: pathlib.Path) -> Settings | Failure:
    """Read a settings file, or return ``INVALID_REQUEST`` with the reason."""
    try:
        document = path.read_bytes()
    except OSError as error:
        return _invalid(f'{path}: {error.strerror}')
    try:
        return msgspec.json.decode(document, type=Settings)
    except msgspec.DecodeError as error:
        return _invalid(f'{path}: {error}')


def _invalid(detail: str) -> Failure:
    return Failure(FailureReason.INVALID_REQUEST, detail)
