"""The guard role: all tasks for one runner pass through its guard."""

from __future__ import annotations

from borageward.guard.network import GuardNetwork, GuardTls
from borageward.guard.service import GuardService

__all__ = ('GuardNetwork', 'GuardService', 'GuardTls')
