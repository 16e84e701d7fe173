"""The control role: replicated log, claims, members and revisions."""

from __future__ import annotations

from borageward.control.service import ControlService

__all__ = ('ControlService',)
