"""Logs and metrics."""

from __future__ import annotations

from borageward.telemetry.log import EventLog, format_line, open_log
from borageward.telemetry.metrics import Metrics

__all__ = ('EventLog', 'Metrics', 'format_line', 'open_log')
