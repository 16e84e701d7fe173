"""The guard role: the only gate to one runner."""

from __future__ import annotations

from borageward.guard.network import GuardNetwork, GuardTls
from borageward.guard.service import GuardService

__all__ = ('GuardNetwork', 'GuardService', 'GuardTls')
