"""Metrics that are derived from events."""

from __future__ import annotations

from borageward.telemetry.eventmetrics import EventMetrics

_NAME = b'borageward_survivable_losses '


def _gauge(metrics):
    """Return the value of the gauge, or ``None`` when it is not exported."""
    for line in metrics.text().splitlines():
        if line.startswith(_NAME):
            return float(line.removeprefix(_NAME))
    return None


def test_only_the_leader_exports_survivable_losses():
    """Guards against an alarm on what a former leader knew."""
    metrics = EventMetrics()
    assert _gauge(metrics) is None
    metrics.observe('survivable_losses', {'losses': 1, 'tolerated': 1})
    metrics.observe('survivable_losses', {'losses': 0, 'tolerated': 1})
    assert _gauge(metrics) == 0
    metrics.observe('leader_stopped', {'term': 3})
    assert _gauge(metrics) is None
