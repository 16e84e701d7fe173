"""Servers of one control replica."""

from __future__ import annotations

from borageward.control.service.service import ControlService

__all__ = ('ControlService',)
