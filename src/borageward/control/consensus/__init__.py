"""Agreement of the control replicas on one log."""

from __future__ import annotations

from borageward.control.consensus.node import Node
from borageward.control.consensus.options import NodeOptions, PeerFactory

__all__ = ('Node', 'NodeOptions', 'PeerFactory')
