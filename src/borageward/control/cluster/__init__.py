"""Control replicas that find each other and replace lost voters."""

from __future__ import annotations

from borageward.control.cluster.service import ClusterService

__all__ = ('ClusterService',)
