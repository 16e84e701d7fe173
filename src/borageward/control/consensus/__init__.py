"""Raft consensus of the control replicas on one replicated log."""

from __future__ import annotations

from borageward.control.consensus.node import Node
from borageward.control.consensus.options import NodeOptions, PeerFactory

__all__ = ('Node', 'NodeOptions', 'PeerFactory')
