"""The entry role: accepts jobs from callers and returns their results."""

from __future__ import annotations

from borageward.entry.service import EntryAccess, EntryService

__all__ = ('EntryAccess', 'EntryService')
