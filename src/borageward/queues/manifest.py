"""The queue manifest: one version of all queues and endpoint pools."""

from __future__ import annotations

import msgspec


class Queue(msgspec.Struct, frozen=True, array_like=True):
    """Queue for the jobs submitted to a host name and a path prefix.

    A job meets its response-time goal when it ends within ``stretch`` times
    the estimated run time of its longest chain of tasks plus
    ``target_latency_ms``. Priority 0 is the most urgent. A job fails when one
    of its tasks has failed ``max_attempts`` times. ``timeout_ms`` limits the
    time of one exchange with a caller.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_ms: float
    timeout_ms: float


class EndpointPool(msgspec.Struct, frozen=True, array_like=True):
    """Endpoints that serve the same queues.

    ``rejects_excess`` means that the endpoints reject runs beyond their
    capacity by themselves.
    """

    name: str
    rejects_excess: bool


class RequestLimits(msgspec.Struct, frozen=True, array_like=True):
    """Limits on the HTTP requests of callers."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class QueueManifest(msgspec.Struct, frozen=True, array_like=True):
    """One version of the queues, endpoint pools and limits.

    ``document`` is the manifest as the operator submitted it, kept so that it
    can be read back.
    """

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[EndpointPool, ...]
    limits: RequestLimits
    document: bytes
