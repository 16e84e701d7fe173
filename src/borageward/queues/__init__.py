"""Queues that callers submit jobs to, and the endpoints that serve them."""

from __future__ import annotations

from borageward.queues.manifest import (
    EndpointPool,
    Queue,
    QueueManifest,
    RequestLimits,
)
from borageward.queues.routes import QueueRoutes

__all__ = (
    'EndpointPool',
    'Queue',
    'QueueManifest',
    'QueueRoutes',
    'RequestLimits',
)
