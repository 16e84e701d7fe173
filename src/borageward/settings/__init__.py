"""Settings of the daemon."""

from __future__ import annotations

from borageward.settings.document import (
    ControlAddress,
    ControlSettings,
    EntrySettings,
    GuardSettings,
    LogSettings,
    MetricsSettings,
    Settings,
    TlsSettings,
    VoterAddress,
)
from borageward.settings.reader import read_settings

__all__ = (
    'ControlAddress',
    'ControlSettings',
    'EntrySettings',
    'GuardSettings',
    'LogSettings',
    'MetricsSettings',
    'Settings',
    'TlsSettings',
    'VoterAddress',
    'read_settings',
)
