"""Discovery of the control replicas, and calls to them."""

from __future__ import annotations

from borageward.discovery.fanout import ReplicaFanout
from borageward.discovery.guards import (
    MAX_LABELS,
    MAX_NAME_LENGTH,
    find_guard_problem,
)
from borageward.discovery.replicas import ReplicaCaller, ReplicaCalls

__all__ = (
    'MAX_LABELS',
    'MAX_NAME_LENGTH',
    'ReplicaCaller',
    'ReplicaCalls',
    'ReplicaFanout',
    'find_guard_problem',
)
