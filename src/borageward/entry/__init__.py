"""The entry role: takes jobs from callers and answers them."""

from __future__ import annotations

from borageward.entry.service import EntryAccess, EntryService

__all__ = ('EntryAccess', 'EntryService')
