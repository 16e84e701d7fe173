"""Client that sends counters, gauges and timings to statsd."""

from __future__ import annotations

import statsd

from borageward.clock import Milliseconds
from borageward.transport.address import Address


class Metrics:
    """statsd client; without an address, all calls do nothing."""

    def __init__(self, address: Address | None, prefix: str) -> None:
        """Create the client; metrics are sent as UDP datagrams."""
        self._client: statsd.StatsClient | None = None
        if address is not None:
            self._client = statsd.StatsClient(
                host=address.host,
                port=address.port,
                prefix=prefix,
            )

    def count(self, name: str, amount: int = 1) -> None:
        """Increase a counter by an amount."""
        if self._client is not None:
            self._client.incr(name, amount)

    def gauge(self, name: str, amount: float) -> None:
        """Set a gauge to an amount."""
        if self._client is not None:
            self._client.gauge(name, amount)

    def timing(self, name: str, duration_ms: Milliseconds) -> None:
        """Record a duration in milliseconds."""
        if self._client is not None:
            self._client.timing(name, duration_ms)
