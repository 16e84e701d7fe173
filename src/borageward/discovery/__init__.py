"""Discovery of the control replicas, and calls to them."""

from __future__ import annotations

from borageward.discovery.fanout import ReplicaFanout
from borageward.discovery.replicas import ReplicaCaller, ReplicaCalls

__all__ = ('ReplicaCaller', 'ReplicaCalls', 'ReplicaFanout')
