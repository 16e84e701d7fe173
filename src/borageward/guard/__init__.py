"""The guard role: all work for one runner passes through its guard."""

from __future__ import annotations

from borageward.guard.network import GuardNetwork, GuardTls
from borageward.guard.service import GuardService

__all__ = ('GuardNetwork', 'GuardService', 'GuardTls')
