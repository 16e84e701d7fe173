"""The configuration that operators change while the system runs."""

from __future__ import annotations

from borageward.configuration.aggregate import (
    Configuration,
    decode_configuration,
    encode_configuration,
    initial_configuration,
)
from borageward.configuration.limits import Limits
from borageward.configuration.policy import Policy, Service

__all__ = (
    'Configuration',
    'Limits',
    'Policy',
    'Service',
    'decode_configuration',
    'encode_configuration',
    'initial_configuration',
)
