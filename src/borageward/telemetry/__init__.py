"""Event logs and metrics of a process."""

from __future__ import annotations

from borageward.telemetry.line import format_line, parse_line
from borageward.telemetry.log import (
    EventLog,
    open_log,
    send_log_to,
)
from borageward.telemetry.metrics import Metrics
from borageward.telemetry.steps import log_attempts, log_results

__all__ = (
    'EventLog',
    'Metrics',
    'format_line',
    'log_attempts',
    'log_results',
    'open_log',
    'parse_line',
    'send_log_to',
)
