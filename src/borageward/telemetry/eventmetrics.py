"""Event counters and latency histograms in the Prometheus text format.

The library that writes the format is imported with the first scrape: its
import takes a tenth of the start of a process, and no process needs it to
serve its callers.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Any

from borageward.clock import Clock
from borageward.telemetry.histogram import LatencyHistogram

# Fields that become the label ``result``; the first one present is used. Only
# fields with few different values qualify, as each value adds a time series.
_RESULT_FIELDS = ('verdict', 'outcome')
# Field of an event that is observed as its latency.
_LATENCY_FIELDS = MappingProxyType(
    {
        'job_ended': 'took_ms',
        'job_shed': 'wait_ms',
        'runs_ordered': 'waited_ms',
    },
)
# Event and field that set the gauge of the disks that control may lose. Only
# the leader knows the number, until the event that ends its lead.
_LOSSES_EVENT = 'survivable_losses'
_LOSSES_FIELD = 'losses'
_LOSSES_END_EVENT = 'leader_stopped'
_LAG_SAMPLE_INTERVAL_MS = 500.0


class EventMetrics:
    """Metrics of logged events and of the event loop.

    Events are counted even when their lines are dropped from the log.
    """

    def __init__(self) -> None:
        """Start without events."""
        self._events: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._latencies: dict[str, LatencyHistogram] = {}
        self._lag = LatencyHistogram()
        self._survivable_losses: int | None = None

    def observe(self, name: str, fields: Mapping[str, Any]) -> None:
        """Count an event and record the latency that it reports, if any."""
        results = (fields[key] for key in _RESULT_FIELDS if key in fields)
        self._events[(name, str(next(results, '')))] += 1
        latency_ms = fields.get(_LATENCY_FIELDS.get(name, ''))
        if latency_ms is not None:
            histogram = self._latencies.setdefault(name, LatencyHistogram())
            histogram.observe(latency_ms)
        if name == _LOSSES_EVENT:
            self._survivable_losses = fields[_LOSSES_FIELD]
        elif name == _LOSSES_END_EVENT:
            self._survivable_losses = None

    async def watch_loop(self, clock: Clock) -> None:
        """Record by how much timers of the event loop are late.

        Runs until cancelled.
        """
        while True:
            started_ms = clock.now_ms()
            await clock.sleep_ms(_LAG_SAMPLE_INTERVAL_MS)
            lag_ms = clock.now_ms() - started_ms - _LAG_SAMPLE_INTERVAL_MS
            self._lag.observe(max(0, lag_ms))

    def collect(self) -> Iterator[Any]:
        """Return the families of metrics for a scrape."""
        from prometheus_client.core import (  # noqa: WPS433
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        events = CounterMetricFamily(
            'borageward_events',
            'Events by name and result.',
            labels=('event', 'result'),
        )
        for labels, count in self._events.items():
            events.add_metric(labels, count)
        yield events
        latencies = HistogramMetricFamily(
            'borageward_event_ms',
            'Latency that an event reports, in milliseconds.',
            labels=('event',),
        )
        for name, histogram in self._latencies.items():
            latencies.add_metric((name,), histogram.buckets(), histogram.sum_ms)
        yield latencies
        lag = HistogramMetricFamily(
            'borageward_loop_lag_ms',
            'Delay of a timer of the event loop, in milliseconds.',
        )
        lag.add_metric((), self._lag.buckets(), self._lag.sum_ms)
        yield lag
        if self._survivable_losses is not None:
            yield GaugeMetricFamily(
                'borageward_survivable_losses',
                'Disks that control may lose, as its leader knows.',
                value=self._survivable_losses,
            )

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import (  # noqa: WPS433
            CollectorRegistry,
            generate_latest,
        )

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)
