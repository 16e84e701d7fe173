"""Event counters and latency histograms in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Histogram,
    generate_latest,
)

from borageward.clock import Clock

_BUCKETS_MS = tuple(
    base * scale for scale in (1, 10, 100, 1000) for base in (1, 2, 5)
)
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
_LAG_SAMPLE_INTERVAL_MS = 500.0


class EventMetrics:
    """Metrics of logged events and of the event loop.

    Events are counted even when their lines are dropped from the log.
    """

    def __init__(self) -> None:
        """Create the metrics in a registry of their own."""
        self._registry = CollectorRegistry()
        self._events = Counter(
            'borageward_events',
            'Events by name and result.',
            ('event', 'result'),
            registry=self._registry,
        )
        self._latencies = Histogram(
            'borageward_event_ms',
            'Latency that an event reports, in milliseconds.',
            ('event',),
            buckets=_BUCKETS_MS,
            registry=self._registry,
        )
        self._lag = Histogram(
            'borageward_loop_lag_ms',
            'Delay of a timer of the event loop, in milliseconds.',
            buckets=_BUCKETS_MS,
            registry=self._registry,
        )

    def observe(self, name: str, fields: Mapping[str, Any]) -> None:
        """Count an event and record the latency that it reports, if any."""
        results = (fields[key] for key in _RESULT_FIELDS if key in fields)
        self._events.labels(name, next(results, '')).inc()
        latency = fields.get(_LATENCY_FIELDS.get(name, ''))
        if latency is not None:
            self._latencies.labels(name).observe(latency)

    async def watch_loop(self, clock: Clock) -> None:
        """Record by how much timers of the event loop are late.

        Runs until cancelled.
        """
        while True:
            started_ms = clock.now_ms()
            await clock.sleep_ms(_LAG_SAMPLE_INTERVAL_MS)
            lag_ms = clock.now_ms() - started_ms - _LAG_SAMPLE_INTERVAL_MS
            self._lag.observe(max(0, lag_ms))

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
