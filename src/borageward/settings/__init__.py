"""Settings of the daemon and the command line."""

from __future__ import annotations

from borageward.settings.document import (
    ControlAddress,
    ControlSettings,
    EntrySettings,
    GuardSettings,
    LogSettings,
    MetricsSettings,
    OperatorSettings,
    Settings,
    TlsSettings,
    VoterAddress,
)
from borageward.settings.problem import InvalidSettings, SettingsProblem
from borageward.settings.reader import parse_settings, read_settings

__all__ = (
    'ControlAddress',
    'ControlSettings',
    'EntrySettings',
    'GuardSettings',
    'InvalidSettings',
    'LogSettings',
    'MetricsSettings',
    'OperatorSettings',
    'Settings',
    'SettingsProblem',
    'TlsSettings',
    'VoterAddress',
    'parse_settings',
    'read_settings',
)
